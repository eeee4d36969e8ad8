//! HTTP servers: translate requests into messages to the shell, and its replies into responses.

mod control;
mod platform;
mod target;

use actix::Addr;
use actix_web::HttpResponse;
use model::variant_name;
use tokio::sync::oneshot;

pub use control::spawn as spawn_control;
pub use platform::spawn as spawn_platform;
pub use target::serve as serve_target;

use crate::{
    effect::{CallReply, Reply},
    shell::{IncomingRequest, OwnedRequest, Shell},
};

const CALL_ID_HEADER: &str = "balsam-call-id";
const REQUEST_ID_HEADER: &str = "balsam-request-id";
const TIMEOUT_HEADER: &str = "balsam-timeout-ms";
const IDEMPOTENT_HEADER: &str = "balsam-idempotent";
const SNAPSHOT_HEADER: &str = "balsam-snapshot";
const STATUS_HEADER: &str = "balsam-status";
const LOAD_HEADER: &str = "balsam-load";
const VERSION_HEADER: &str = "platform-version";

/// Sends a request to the shell and returns the response to its reply.
///
/// If the reducer drops the request, the response has status 503 and closes the connection.
async fn submit(shell: &Addr<Shell>, request: OwnedRequest) -> HttpResponse {
    let (reply_sender, reply_receiver) = oneshot::channel();
    shell.do_send(IncomingRequest {
        request,
        reply_sender,
    });
    match reply_receiver.await {
        Ok(reply) => to_response(reply),
        Err(_) => HttpResponse::ServiceUnavailable().force_close().finish(),
    }
}

fn to_response(reply: Reply) -> HttpResponse {
    match reply {
        Reply::Call(reply) => to_call_response(reply),
        Reply::Load(load) => HttpResponse::Ok().json(load),
        Reply::Value { version, body } => HttpResponse::Ok()
            .insert_header((VERSION_HEADER, version.to_string()))
            .content_type("application/json")
            .body(body),
        Reply::Report(report) => HttpResponse::Ok()
            .content_type("application/json")
            .body(report),
        Reply::Done => HttpResponse::NoContent().finish(),
        Reply::NotFound => HttpResponse::NotFound().finish(),
        Reply::Invalid(findings) => HttpResponse::BadRequest().json(findings),
        Reply::RateLimited => HttpResponse::TooManyRequests().finish(),
        Reply::Unavailable => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn to_call_response(reply: CallReply) -> HttpResponse {
    let load = serde_json::to_string(&reply.load).unwrap_or_default();
    HttpResponse::Ok()
        .insert_header((STATUS_HEADER, variant_name(&reply.status)))
        .insert_header((SNAPSHOT_HEADER, reply.snapshot.to_string()))
        .insert_header((LOAD_HEADER, load))
        .body(reply.body)
}
