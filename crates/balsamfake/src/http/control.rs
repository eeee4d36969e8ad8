//! HTTP server of the control port, through which tests and operators drive the simulation.

use std::net::SocketAddr;

use actix::Addr;
use actix_web::{App, HttpResponse, HttpServer, web};
use bytes::Bytes;

use super::submit;
use crate::shell::{OwnedCommand, OwnedRequest, Shell};

/// Largest request body, such as a published configuration.
const MAX_BODY_BYTES: usize = 8 * 1_048_576;

type Context = web::Data<Addr<Shell>>;

/// Starts the server; it runs until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn(shell: Addr<Shell>, address: SocketAddr) -> std::io::Result<()> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(shell.clone()))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route("/v1/values/note", web::put().to(publish_note))
            .route("/v1/instances", web::put().to(publish_instances))
            .route("/v1/platform", web::put().to(update_platform))
            .route("/v1/platform", web::get().to(platform))
            .route("/v1/targets", web::get().to(targets))
            .route("/v1/targets/{target}", web::put().to(update_target))
            .route("/v1/targets/{target}/crash", web::put().to(crash))
            .route("/v1/ledger", web::get().to(ledger))
    });
    let server = server.workers(1).disable_signals().bind(address)?;
    actix_rt::spawn(server.run());
    Ok(())
}

async fn publish_note(shell: Context, body: Bytes) -> HttpResponse {
    submit(
        &shell,
        OwnedRequest::Command(OwnedCommand::PublishNote { body }),
    )
    .await
}

async fn publish_instances(shell: Context, body: Bytes) -> HttpResponse {
    submit(
        &shell,
        OwnedRequest::Command(OwnedCommand::PublishInstances { body }),
    )
    .await
}

async fn update_platform(shell: Context, body: Bytes) -> HttpResponse {
    submit(
        &shell,
        OwnedRequest::Command(OwnedCommand::UpdatePlatform { body }),
    )
    .await
}

async fn update_target(shell: Context, target: web::Path<String>, body: Bytes) -> HttpResponse {
    let target = target.into_inner();
    submit(
        &shell,
        OwnedRequest::Command(OwnedCommand::UpdateTarget { target, body }),
    )
    .await
}

async fn crash(shell: Context, target: web::Path<String>) -> HttpResponse {
    let target = target.into_inner();
    submit(
        &shell,
        OwnedRequest::Command(OwnedCommand::Crash { target }),
    )
    .await
}

async fn platform(shell: Context) -> HttpResponse {
    submit(&shell, OwnedRequest::Command(OwnedCommand::Platform)).await
}

async fn targets(shell: Context) -> HttpResponse {
    submit(&shell, OwnedRequest::Command(OwnedCommand::Targets)).await
}

async fn ledger(shell: Context) -> HttpResponse {
    submit(&shell, OwnedRequest::Command(OwnedCommand::Ledger)).await
}
