//! The operators' HTTP port: liveness, readiness, metrics and the state of the process.

use std::time::Duration;

use actix::Addr;
use actix_service::map_config;
use actix_web::{App, HttpResponse, dev::AppConfig, web};
use model::Revision;
use prometheus::Registry;
use serde::Deserialize;
use tokio::sync::oneshot;

use crate::{
    error::StartError,
    http::{self, Closing},
    metrics::{self, Gauges},
    reports::{DumpWanted, StatusWanted},
    shell::Shell,
    waits::ReadyWanted,
};

/// Longest wait for readiness.
const MAX_WAIT_MS: u64 = 60_000;

#[derive(Clone)]
struct Context {
    shell: Addr<Shell>,
    registry: Registry,
    gauges: Gauges,
}

/// Serves the operators' port until the process ends.
///
/// # Errors
///
/// Returns an error if the port cannot be opened.
pub async fn spawn(
    shell: Addr<Shell>,
    registry: Registry,
    gauges: Gauges,
    listen: &settings::Listen,
    closing: Closing,
) -> Result<(), StartError> {
    let context = Context {
        shell,
        registry,
        gauges,
    };
    let listener = http::bind("operators", listen.operators).await?;
    let app = App::new()
        .app_data(web::Data::new(context))
        .route("/live", web::get().to(live))
        .route("/ready", web::get().to(ready))
        .route("/metrics", web::get().to(export_metrics))
        .route("/status", web::get().to(status))
        .route("/state", web::get().to(state));
    http::serve(
        listener,
        map_config(app, |()| AppConfig::default()),
        closing,
    )
    .await;
    Ok(())
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

/// Parameters of a question about readiness.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ReadyQuery {
    revision: Revision,
    wait_ms: u64,
}

async fn ready(context: web::Data<Context>, query: web::Query<ReadyQuery>) -> HttpResponse {
    let (reply, answer) = oneshot::channel();
    context.shell.do_send(ReadyWanted {
        at_least_revision: query.revision,
        wait: Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS)),
        reply,
    });
    match answer.await {
        Ok(true) => HttpResponse::Ok().body("ready\n"),
        _ => HttpResponse::ServiceUnavailable().body("not ready\n"),
    }
}

async fn export_metrics(context: web::Data<Context>) -> HttpResponse {
    let Ok(status) = context.shell.send(StatusWanted).await else {
        return HttpResponse::ServiceUnavailable().body("the instance has stopped\n");
    };
    metrics::set_gauges(&context.gauges, &status.0);
    match metrics::export(&context.registry) {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn status(context: web::Data<Context>) -> HttpResponse {
    match context.shell.send(StatusWanted).await {
        Ok(status) => HttpResponse::Ok().json(status.0),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn state(context: web::Data<Context>) -> HttpResponse {
    match context.shell.send(DumpWanted).await {
        Ok(dump) => HttpResponse::Ok()
            .content_type("application/json")
            .body(dump),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
