//! The gateway's HTTP port.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use actix::Addr;
use actix_http::{ConnectionType, Payload, Request, Response, StatusCode};
use actix_service::fn_service;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::sync::oneshot;

use crate::{
    callers::CallerGuard,
    error::StartError,
    exchanges::HttpArrived,
    http::{self, Closing},
    shell::Shell,
};

#[derive(Clone)]
struct Port {
    shell: Addr<Shell>,
    body_max_bytes: usize,
    turns_away: Arc<AtomicBool>,
}

/// Serves the gateway's port until the process ends.
///
/// # Errors
///
/// Returns an error if the port cannot be opened.
pub async fn spawn(
    shell: Addr<Shell>,
    settings: &settings::Gateway,
    turns_away: Arc<AtomicBool>,
    closing: Closing,
) -> Result<(), StartError> {
    let port = Port {
        shell,
        body_max_bytes: settings.body_max_bytes as usize,
        turns_away,
    };
    let listener = http::bind("gateway", settings.listen).await?;
    let service = fn_service(move |request: Request| {
        let port = port.clone();
        async move { Ok::<_, Infallible>(serve(&port, request).await) }
    });
    http::serve(listener, service, closing).await;
    Ok(())
}

async fn serve(port: &Port, request: Request) -> Response<Bytes> {
    let mut response = respond(port, request).await;
    if port.turns_away.load(Ordering::Relaxed) {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

async fn respond(port: &Port, mut request: Request) -> Response<Bytes> {
    let body = match read_body(request.take_payload(), port.body_max_bytes).await {
        Ok(body) => body,
        Err(status) => return Response::with_body(status, Bytes::new()),
    };
    let request = match platform::decode_request(request.head(), body) {
        Ok(request) => request,
        Err(fault) => return platform::refuse_request(fault),
    };
    let (reply, response) = oneshot::channel();
    let mut guard = CallerGuard::new(port.shell.clone());
    port.shell.do_send(HttpArrived {
        request: Arc::new(request),
        reply,
        key: guard.key(),
    });
    let response = response.await;
    guard.answered();
    match response {
        Ok(response) => platform::encode_response(response),
        Err(_) => Response::with_body(StatusCode::BAD_GATEWAY, Bytes::new()),
    }
}

async fn read_body(mut payload: Payload, max_bytes: usize) -> Result<Bytes, StatusCode> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        // The connection has failed, so nobody sees the status.
        let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        if body.len() + chunk.len() > max_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
