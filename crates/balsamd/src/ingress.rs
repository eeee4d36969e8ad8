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
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::sync::oneshot;

use crate::{
    callers::CallerGuard,
    error::StartError,
    gateway_messages::GatewayRequest,
    http::{self, CloseSignal, ConnectionTracker, PortLimits},
    limits::Limits,
    shell::Shell,
};

#[derive(Clone)]
struct AppState {
    shell: Addr<Shell>,
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
    limits: Limits,
    is_draining: Arc<AtomicBool>,
    close_signal: CloseSignal,
    connections: ConnectionTracker,
) -> Result<(), StartError> {
    let app_state = AppState { shell, is_draining };
    let port_limits = PortLimits {
        limits,
        body_max_bytes: settings.body_max_bytes as usize,
    };
    let listener = http::bind("gateway", settings.listen).await?;
    let service = fn_service(move |request: Request| {
        let app_state = app_state.clone();
        async move { Ok::<_, Infallible>(serve(&app_state, request).await) }
    });
    http::serve(listener, service, port_limits, close_signal, connections).await;
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
    let body = match read_body(request.take_payload()).await {
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

/// Takes the body, which the port has read as a whole.
async fn read_body(mut payload: Payload) -> Result<Bytes, StatusCode> {
    match payload.next().await {
        None => Ok(Bytes::new()),
        Some(body) => body.map_err(|_| StatusCode::BAD_REQUEST),
    }
}
