//! HTTP/1.1 servers of the ports; they run on the thread of the shell.

use std::{fmt, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    HttpServiceBuilder, Request, Response,
    body::{BoxBody, MessageBody},
};
use actix_service::{IntoServiceFactory, Service, ServiceFactory};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{error::StartError, supervise};

/// Idle time after which a caller's connection is closed; longer than the time for which callers
/// keep idle connections, so that callers close first.
const KEEP_ALIVE: Duration = Duration::from_secs(90);
/// Time limit for the first request of a connection to arrive.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
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

/// Starts to serve a port until the close signal. Connections that the caller half-closes are
/// closed, since a caller that closes its side no longer waits for the answer.
pub async fn serve<F, S, B>(
    listener: TcpListener,
    factory: F,
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
    let factory = HttpServiceBuilder::default()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(FIRST_REQUEST_TIMEOUT)
        .h1_allow_half_closed(false)
        .h1(factory)
        .tcp();
    if let Ok(service) = factory.new_service(()).await {
        spawn_accept_loop(listener, service, close_signal, connections);
    }
}

/// Starts the accept loop, which ends at the close signal.
fn spawn_accept_loop<S>(
    listener: TcpListener,
    service: S,
    mut close_signal: CloseSignal,
    connections: ConnectionTracker,
) where
    S: Service<TcpStream> + 'static,
{
    actix_rt::spawn(async move {
        let _guard = supervise::exit_on_panic();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = close_signal.wait_for(|is_closing| *is_closing) => break,
            };
            match accepted {
                Ok((stream, _)) => spawn_connection(&service, stream, &connections),
                Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        for stream in take_pending(listener) {
            spawn_connection(&service, stream, &connections);
        }
    });
}

fn spawn_connection<S>(service: &S, stream: TcpStream, connections: &ConnectionTracker)
where
    S: Service<TcpStream> + 'static,
{
    let connection = service.call(stream);
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
