//! HTTP ports that are served on the thread of the shell.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::HttpServiceBuilder;
use actix_service::Service;
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

/// Returns the settings that all ports share: a caller that closes its connection no longer waits.
pub fn builder<S>() -> HttpServiceBuilder<TcpStream, S>
where
    S: actix_service::ServiceFactory<actix_http::Request, Config = ()>,
    S::Error: Into<actix_http::Response<actix_http::body::BoxBody>> + 'static,
    S::InitError: std::fmt::Debug,
    <S::Service as Service<actix_http::Request>>::Future: 'static,
{
    HttpServiceBuilder::default()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(FIRST_REQUEST_TIMEOUT)
        .h1_allow_half_closed(false)
}

/// Accepts connections until the process closes its ports.
pub fn spawn<S>(listener: TcpListener, service: S, mut closing: Closing)
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
