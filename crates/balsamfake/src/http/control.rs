//! The port on which the stand-ins are steered.

use std::net::SocketAddr;

use actix::Addr;
use actix_web::{App, HttpResponse, HttpServer, web};
use bytes::Bytes;

use super::ask;
use crate::shell::{Ask, Shell, Steering};

/// Largest published value.
const MAX_BODY_BYTES: usize = 8 * 1_048_576;

type Context = web::Data<Addr<Shell>>;

/// Serves the port until the process ends.
///
/// # Errors
///
/// Returns an error if the port cannot be opened.
pub fn spawn(shell: Addr<Shell>, address: SocketAddr) -> std::io::Result<()> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(shell.clone()))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route("/v1/values/note", web::put().to(publish_note))
            .route("/v1/instances", web::put().to(publish_instances))
            .route("/v1/platform", web::put().to(steer_platform))
            .route("/v1/platform", web::get().to(platform))
            .route("/v1/targets", web::get().to(targets))
            .route("/v1/targets/{target}", web::put().to(steer_target))
            .route("/v1/targets/{target}/crash", web::put().to(crash))
            .route("/v1/ledger", web::get().to(ledger))
    });
    let server = server.workers(1).disable_signals().bind(address)?;
    actix_rt::spawn(server.run());
    Ok(())
}

async fn publish_note(shell: Context, body: Bytes) -> HttpResponse {
    ask(&shell, Ask::Control(Steering::PublishNote { body })).await
}

async fn publish_instances(shell: Context, body: Bytes) -> HttpResponse {
    ask(&shell, Ask::Control(Steering::PublishInstances { body })).await
}

async fn steer_platform(shell: Context, body: Bytes) -> HttpResponse {
    ask(&shell, Ask::Control(Steering::SteerPlatform { body })).await
}

async fn steer_target(shell: Context, target: web::Path<String>, body: Bytes) -> HttpResponse {
    let target = target.into_inner();
    ask(&shell, Ask::Control(Steering::SteerTarget { target, body })).await
}

async fn crash(shell: Context, target: web::Path<String>) -> HttpResponse {
    let target = target.into_inner();
    ask(&shell, Ask::Control(Steering::Crash { target })).await
}

async fn platform(shell: Context) -> HttpResponse {
    ask(&shell, Ask::Control(Steering::Platform)).await
}

async fn targets(shell: Context) -> HttpResponse {
    ask(&shell, Ask::Control(Steering::Targets)).await
}

async fn ledger(shell: Context) -> HttpResponse {
    ask(&shell, Ask::Control(Steering::Ledger)).await
}
