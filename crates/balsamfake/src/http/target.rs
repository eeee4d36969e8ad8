//! HTTP server of one connection to a target.

use std::time::Duration;

use actix::Addr;
use actix_http::HttpService;
use actix_service::{Service, ServiceFactory, map_config};
use actix_web::{
    App, HttpRequest, HttpResponse,
    dev::AppConfig,
    http::header::{HeaderMap, HeaderName},
    web,
};
use bytes::Bytes;
use tokio::net::TcpStream;

use super::{
    CALL_ID_HEADER, IDEMPOTENT_HEADER, REQUEST_ID_HEADER, SNAPSHOT_HEADER, TIMEOUT_HEADER, submit,
};
use crate::{
    event::TargetKey,
    shell::{OwnedCall, OwnedRequest, Shell},
};

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(120);

#[derive(Clone)]
struct TargetContext {
    shell: Addr<Shell>,
    target: TargetKey,
}

/// Serves one connection until it is closed or idle for too long.
pub async fn serve(shell: Addr<Shell>, target: TargetKey, stream: TcpStream) {
    let context = TargetContext { shell, target };
    let app = App::new()
        .app_data(web::Data::new(context))
        .route("/v1/call", web::post().to(call))
        .route("/v1/cancel", web::post().to(cancel))
        .route("/v1/load", web::get().to(load));
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(Duration::ZERO)
        .h1(map_config(app, |()| AppConfig::default()))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    // An error needs no handling: the shell learns of the end of the connection either way.
    let _ = service.call(stream).await;
}

async fn call(
    context: web::Data<TargetContext>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let headers = request.headers();
    let call_id = headers.get(CALL_ID_HEADER).cloned();
    let timeout_ms = header_text(headers, TIMEOUT_HEADER).parse();
    let call = OwnedCall {
        call_id: header_text(headers, CALL_ID_HEADER).to_owned(),
        request_id: header_text(headers, REQUEST_ID_HEADER).to_owned(),
        snapshot: header_text(headers, SNAPSHOT_HEADER).parse().ok(),
        timeout: timeout_ms.ok().map(Duration::from_millis),
        is_idempotent: header_text(headers, IDEMPOTENT_HEADER) != "false",
        body,
    };
    let target = context.target;
    let mut response = submit(&context.shell, OwnedRequest::Call { target, call }).await;
    if let Some(call_id) = call_id {
        let name = HeaderName::from_static(CALL_ID_HEADER);
        response.headers_mut().insert(name, call_id);
    }
    response
}

async fn cancel(context: web::Data<TargetContext>, request: HttpRequest) -> HttpResponse {
    let cancel = OwnedRequest::Cancel {
        target: context.target,
        call_id: header_text(request.headers(), CALL_ID_HEADER).to_owned(),
    };
    submit(&context.shell, cancel).await
}

async fn load(context: web::Data<TargetContext>) -> HttpResponse {
    let target = context.target;
    submit(&context.shell, OwnedRequest::Load { target }).await
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}
