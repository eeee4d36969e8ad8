//! HTTP/1.1 servers of the ports; they run on the thread of the shell.

use std::{convert::Infallible, fmt, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    ConnectionType, HttpServiceBuilder, Payload, Request, Response, StatusCode,
    body::{BoxBody, EitherBody, MessageBody},
    h1, header,
};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use bytes::Bytes;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    error::StartError,
    limited_stream::{self, LimitedStream},
    limits::{self, Admission, Cause, Client, Limits},
    supervise,
};

/// Idle time after which a caller's connection is closed; longer than the time for which callers
/// keep idle connections, so that callers close first.
const KEEP_ALIVE: Duration = Duration::from_secs(90);
/// Time limit for the first request of a connection to arrive: callers keep connections idle for up
/// to 15 s, and their head takes up to 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for a caller to close its side after the last response.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// `Retry-After` of a request that is refused for lack of memory: the clients that take it are
/// closed within a second.
const RETRY_AFTER: &str = "1";
/// Delay after a failed accept, which mostly means that file descriptors have run out.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Turns true when the process is about to exit; ports then stop accepting connections.
pub type CloseSignal = watch::Receiver<bool>;

/// Counts the open connections of ports, so that the process can wait for their end.
#[derive(Clone, Debug)]
pub struct ConnectionTracker {
    open_count: Rc<watch::Sender<usize>>,
}

/// An open connection that is counted until it is dropped.
struct TrackedConnection(ConnectionTracker);

impl Drop for TrackedConnection {
    fn drop(&mut self) {
        let open_count = &self.0.open_count;
        open_count.send_modify(|open_count| *open_count -= 1);
    }
}

impl ConnectionTracker {
    /// Returns a tracker without open connections.
    pub fn open() -> ConnectionTracker {
        let (open_count, _) = watch::channel(0);
        ConnectionTracker {
            open_count: Rc::new(open_count),
        }
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        let mut open_count = self.open_count.subscribe();
        // Cannot fail: the sender is alive.
        let _ = open_count.wait_for(|open_count| *open_count == 0).await;
    }

    fn track(&self) -> TrackedConnection {
        self.open_count.send_modify(|open_count| *open_count += 1);
        TrackedConnection(self.clone())
    }
}

/// Binds the listener of a port; `name` appears in the error.
///
/// # Errors
///
/// Returns an error if the port cannot be opened.
pub async fn bind(name: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listen(name, address, error))
}

/// Limits of a port.
#[derive(Clone)]
pub struct PortLimits {
    /// Limits that all ports share.
    pub limits: Limits,
    /// Upper limit of a request's body.
    pub body_max_bytes: usize,
}

/// Starts to serve a port until the close signal. The service gets requests with complete bodies.
/// Connections that the caller half-closes are
/// closed, since a caller that closes its side no longer waits for the answer.
pub async fn serve<F, S, B>(
    listener: TcpListener,
    factory: F,
    port_limits: PortLimits,
    close_signal: CloseSignal,
    connections: ConnectionTracker,
) where
    F: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = ()> + 'static,
    S::Future: 'static,
    S::Error: Into<Response<BoxBody>> + 'static,
    S::InitError: fmt::Debug,
    S::Response: Into<Response<B>> + 'static,
    <S::Service as Service<Request>>::Future: 'static,
    B: MessageBody + 'static,
{
    let Ok(service) = factory.into_factory().new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    let body_max_bytes = port_limits.body_max_bytes;
    let limited = fn_service(move |request: Request| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(serve_limited(&*service, request, body_max_bytes).await) }
    });
    let factory = HttpServiceBuilder::default()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(FIRST_REQUEST_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &LimitedStream, data| {
            data.insert(stream.client.clone());
        })
        .h1(limited);
    if let Ok(service) = factory.new_service(()).await {
        let limits = port_limits.limits;
        spawn_accept_loop(listener, service, limits, close_signal, connections);
    }
}

/// Reads the body within its limits and passes the request to a service.
async fn serve_limited<S, B>(
    service: &S,
    mut request: Request,
    body_max_bytes: usize,
) -> Response<EitherBody<B, Bytes>>
where
    S: Service<Request>,
    S::Error: Into<Response<BoxBody>>,
    S::Response: Into<Response<B>>,
    B: MessageBody + 'static,
{
    let Some(client) = request.conn_data::<Rc<Client>>().cloned() else {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        return Response::with_body(status, EitherBody::right(Bytes::new()));
    };
    let payload = request.take_payload();
    if !matches!(payload, Payload::None) {
        let announced_bytes = announced_bytes(&request);
        let body =
            limited_stream::read_body(&client, payload, announced_bytes, body_max_bytes).await;
        let body = match body {
            Ok(body) => body,
            Err(cause) => return refusal(cause).map_body(|_, body| EitherBody::right(body)),
        };
        let (_, mut payload) = h1::Payload::create(true);
        payload.unread_data(body);
        *request.payload() = Payload::from(payload);
    }
    limits::begin(&client);
    let result = service.call(request).await;
    limits::end(&client);
    match result {
        Ok(response) => response.into().map_body(|_, body| EitherBody::left(body)),
        Err(error) => {
            let response = error.into();
            response.map_body(|_, _| EitherBody::right(Bytes::new()))
        }
    }
}

fn announced_bytes(request: &Request) -> Option<usize> {
    let length = request.head().headers.get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// Returns the answer to a request that was not read as a whole, so that it has not run.
fn refusal(cause: Option<Cause>) -> Response<Bytes> {
    let status = match cause {
        Some(Cause::BodySize) => StatusCode::PAYLOAD_TOO_LARGE,
        Some(Cause::BodyRate) => StatusCode::REQUEST_TIMEOUT,
        Some(_) => StatusCode::SERVICE_UNAVAILABLE,
        // The connection has failed, so the status does not reach the caller.
        None => StatusCode::BAD_REQUEST,
    };
    let mut response = Response::with_body(status, Bytes::new());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let value = header::HeaderValue::from_static(RETRY_AFTER);
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    let head = response.head_mut();
    head.set_connection_type(ConnectionType::Close);
    response
}

/// Starts the accept loop, which ends at the close signal.
fn spawn_accept_loop<S>(
    listener: TcpListener,
    service: S,
    limits: Limits,
    mut close_signal: CloseSignal,
    connections: ConnectionTracker,
) where
    S: Service<(LimitedStream, Option<SocketAddr>)> + 'static,
{
    let service = Rc::new(service);
    actix_rt::spawn(async move {
        let _guard = supervise::exit_on_panic();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = close_signal.wait_for(|is_closing| *is_closing) => break,
            };
            match accepted {
                Ok((stream, _)) => admit(&service, stream, &limits, &connections),
                Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        for stream in take_pending(listener) {
            admit(&service, stream, &limits, &connections);
        }
    });
}

/// Serves a connection if the limits admit it.
fn admit<S>(service: &Rc<S>, stream: TcpStream, limits: &Limits, connections: &ConnectionTracker)
where
    S: Service<(LimitedStream, Option<SocketAddr>)> + 'static,
{
    match limits::admit(limits) {
        Admission::Admitted(client) => {
            let stream = limited_stream::open(stream, client);
            spawn_connection(&**service, stream, connections);
        }
        Admission::Waiting => {
            let (service, limits) = (service.clone(), limits.clone());
            let connections = connections.clone();
            let tracked = connections.track();
            actix_rt::spawn(async move {
                if let Some(client) = limits::await_admission(&limits).await {
                    let stream = limited_stream::open(stream, client);
                    spawn_connection(&*service, stream, &connections);
                }
                drop(tracked);
            });
        }
        Admission::Refused => {}
    }
}

fn spawn_connection<S>(service: &S, stream: LimitedStream, connections: &ConnectionTracker)
where
    S: Service<(LimitedStream, Option<SocketAddr>)> + 'static,
{
    let connection = service.call((stream, None));
    let tracked = connections.track();
    actix_rt::spawn(async move {
        // Errors of a connection are reported through the requests that it carries.
        let _ = connection.await;
        drop(tracked);
    });
}

/// Closes a listener and returns the connections that the system has already established for it:
/// closing alone would reset them, although their callers may have sent a request.
fn take_pending(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let Ok(listener) = listener.into_std() else {
        return streams;
    };
    // The listener does not block, so this ends when no connection is pending.
    while let Ok((stream, _)) = listener.accept() {
        let is_nonblocking = stream.set_nonblocking(true).is_ok();
        streams.extend(
            is_nonblocking
                .then(|| TcpStream::from_std(stream).ok())
                .flatten(),
        );
    }
    streams
}

#[cfg(test)]
mod tests;
