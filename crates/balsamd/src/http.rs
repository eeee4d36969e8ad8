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

use crate::error::StartError;

/// Idle time after which a caller's connection is closed; longer than the time for which callers
/// keep idle connections, so that callers close first.
const KEEP_ALIVE: Duration = Duration::from_secs(90);
/// Time limit for the first request of a connection to arrive.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Turns true when the process is about to exit; ports then stop accepting connections.
pub type CloseSignal = watch::Receiver<bool>;

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
pub async fn serve<F, S, B>(listener: TcpListener, factory: F, close_signal: CloseSignal)
where
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
        spawn_accept_loop(listener, service, close_signal);
    }
}

/// Starts the accept loop, which ends at the close signal.
fn spawn_accept_loop<S>(listener: TcpListener, service: S, mut close_signal: CloseSignal)
where
    S: Service<TcpStream> + 'static,
{
    let service = Rc::new(service);
    actix_rt::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = close_signal.wait_for(|is_closing| *is_closing) => return,
            };
            let Ok((stream, _)) = accepted else {
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let connection = service.call(stream);
            actix_rt::spawn(async move {
                // Errors of a connection are reported through the requests that it carries.
                let _ = connection.await;
            });
        }
    });
}
