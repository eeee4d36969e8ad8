//! The HTTP edge: requests become events, replies become responses.

mod control;
mod platform;
mod target;

use actix::Addr;
use actix_web::HttpResponse;
use model::to_word;
use tokio::sync::oneshot;

pub use control::spawn as spawn_control;
pub use platform::spawn as spawn_platform;
pub use target::serve as serve_target;

use crate::{
    effect::{CallReply, Reply},
    shell::{Ask, Request, Shell},
};

const CALL_HEADER: &str = "balsam-call-id";
const REQUEST_HEADER: &str = "balsam-request-id";
const TIMEOUT_HEADER: &str = "balsam-timeout-ms";
const IDEMPOTENT_HEADER: &str = "balsam-idempotent";
const SNAPSHOT_HEADER: &str = "balsam-snapshot";
const STATUS_HEADER: &str = "balsam-status";
const LOAD_HEADER: &str = "balsam-load";
const VERSION_HEADER: &str = "platform-version";

/// Hands a request to the shell and waits for its reply.
async fn ask(shell: &Addr<Shell>, ask: Ask) -> HttpResponse {
    let (reply, answer) = oneshot::channel();
    shell.do_send(Request { ask, reply });
    match answer.await {
        Ok(reply) => respond(reply),
        Err(_) => HttpResponse::ServiceUnavailable().force_close().finish(),
    }
}

fn respond(reply: Reply) -> HttpResponse {
    match reply {
        Reply::Call(reply) => call_reply(reply),
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
        Reply::Faulty(findings) => HttpResponse::BadRequest().json(findings),
        Reply::RateLimited => HttpResponse::TooManyRequests().finish(),
        Reply::Unavailable => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn call_reply(reply: CallReply) -> HttpResponse {
    let load = serde_json::to_string(&reply.load).unwrap_or_default();
    HttpResponse::Ok()
        .insert_header((STATUS_HEADER, to_word(&reply.status)))
        .insert_header((SNAPSHOT_HEADER, reply.snapshot.to_string()))
        .insert_header((LOAD_HEADER, load))
        .body(reply.body)
}
