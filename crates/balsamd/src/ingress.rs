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
    gateway_messages::GatewayRequest,
    http::{self, CloseSignal, ConnectionTracker},
    shell::Shell,
};

#[derive(Clone)]
struct AppState {
    shell: Addr<Shell>,
    body_max_bytes: usize,
    is_draining: Arc<AtomicBool>,
}

/// Opens the gateway's port and serves it until the close signal.
///
/// # Errors
///
/// Returns an error if the port cannot be opened.
pub async fn spawn(
    shell: Addr<Shell>,
    settings: &settings::Gateway,
    is_draining: Arc<AtomicBool>,
    close_signal: CloseSignal,
    connections: ConnectionTracker,
) -> Result<(), StartError> {
    let app_state = AppState {
        shell,
        body_max_bytes: settings.body_max_bytes as usize,
        is_draining,
    };
    let listener = http::bind("gateway", settings.listen).await?;
    let service = fn_service(move |request: Request| {
        let app_state = app_state.clone();
        async move { Ok::<_, Infallible>(serve(&app_state, request).await) }
    });
    http::serve(listener, service, close_signal, connections).await;
    Ok(())
}

async fn serve(app_state: &AppState, request: Request) -> Response<Bytes> {
    let mut response = respond(app_state, request).await;
    if app_state.is_draining.load(Ordering::Relaxed) {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

async fn respond(app_state: &AppState, mut request: Request) -> Response<Bytes> {
    let body = match read_body(request.take_payload(), app_state.body_max_bytes).await {
        Ok(body) => body,
        Err(status) => return Response::with_body(status, Bytes::new()),
    };
    let request = match platform::decode_request(request.head(), body) {
        Ok(request) => request,
        Err(fault) => return platform::encode_request_error(fault),
    };
    let (reply, response) = oneshot::channel();
    let mut guard = CallerGuard::new(app_state.shell.clone());
    app_state.shell.do_send(GatewayRequest {
        request: Arc::new(request),
        reply,
        key: guard.key(),
    });
    let response = response.await;
    guard.disarm();
    match response {
        Ok(response) => platform::encode_response(response),
        Err(_) => Response::with_body(StatusCode::BAD_GATEWAY, Bytes::new()),
    }
}

async fn read_body(mut payload: Payload, max_bytes: usize) -> Result<Bytes, StatusCode> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        // The connection has failed, so the status does not reach the caller.
        let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        if body.len() + chunk.len() > max_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
