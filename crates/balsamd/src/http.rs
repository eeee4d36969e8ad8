//! HTTP ports that are served on the thread of the shell.

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

/// Time after which an idle connection of a caller is closed; longer than callers reuse one.
const KEEP_ALIVE: Duration = Duration::from_secs(90);
/// Longest time until the first request of a connection has been read.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after a failure to accept a connection, which is mostly a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Tells ports that the process is about to end and accepts nothing any more.
pub type Closing = watch::Receiver<bool>;

/// Opens a port.
///
/// # Errors
///
/// Returns an error if the port cannot be opened.
pub async fn bind(name: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listen(name, address, error))
}

/// Serves a port until the process closes its ports. A caller that closes its connection no longer
/// waits for its answer.
pub async fn serve<F, S, B>(listener: TcpListener, factory: F, closing: Closing)
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
        spawn(listener, service, closing);
    }
}

/// Accepts connections until the process closes its ports.
fn spawn<S>(listener: TcpListener, service: S, mut closing: Closing)
where
    S: Service<TcpStream> + 'static,
{
    let service = Rc::new(service);
    actix_rt::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = closing.wait_for(|is_closing| *is_closing) => return,
            };
            let Ok((stream, _)) = accepted else {
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let connection = service.call(stream);
            actix_rt::spawn(async move {
                // How a connection ends shows in the requests that were on it.
                let _ = connection.await;
            });
        }
    });
}
