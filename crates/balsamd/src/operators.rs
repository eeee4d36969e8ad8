//! The operators' HTTP port: liveness, readiness, metrics, status and a dump of the state.

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
    http::{self, CloseSignal, ConnectionTracker, PortLimits},
    limits::{self, Limits},
    metrics::{self, Gauges},
    readiness::AwaitReady,
    reports::{GetStateDump, GetStatus},
    shell::Shell,
};

/// Upper limit of `wait_ms`; larger values are reduced to it.
const WAIT_MAX_MS: u64 = 60_000;

/// Upper limit of a request's body; no request of operators needs one.
const BODY_MAX_BYTES: usize = 1024;

#[derive(Clone)]
struct AppState {
    shell: Addr<Shell>,
    registry: Registry,
    gauges: Gauges,
    limits: Limits,
}

/// Opens the operators' port and serves it until the close signal.
///
/// # Errors
///
/// Returns an error if the port cannot be opened.
pub async fn spawn(
    shell: Addr<Shell>,
    registry: Registry,
    gauges: Gauges,
    listen: &settings::Listen,
    limits: Limits,
    close_signal: CloseSignal,
) -> Result<(), StartError> {
    let app_state = AppState {
        shell,
        registry,
        gauges,
        limits: limits.clone(),
    };
    let port_limits = PortLimits {
        limits: limits::for_operators(&limits),
        body_max_bytes: BODY_MAX_BYTES,
    };
    let listener = http::bind("operators", listen.operators).await?;
    let app = App::new()
        .app_data(web::Data::new(app_state))
        .route("/live", web::get().to(live))
        .route("/ready", web::get().to(ready))
        .route("/metrics", web::get().to(export_metrics))
        .route("/status", web::get().to(status))
        .route("/state", web::get().to(state));
    http::serve(
        listener,
        map_config(app, |()| AppConfig::default()),
        port_limits,
        close_signal,
        ConnectionTracker::open(),
    )
    .await;
    Ok(())
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

/// URL parameters of `/ready`; both are optional.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ReadyQuery {
    revision: Revision,
    wait_ms: u64,
}

async fn ready(app_state: web::Data<AppState>, query: web::Query<ReadyQuery>) -> HttpResponse {
    let (reply, answer) = oneshot::channel();
    app_state.shell.do_send(AwaitReady {
        at_least_revision: query.revision,
        wait: Duration::from_millis(query.wait_ms.min(WAIT_MAX_MS)),
        reply,
    });
    match answer.await {
        Ok(true) => HttpResponse::Ok().body("ready\n"),
        _ => HttpResponse::ServiceUnavailable().body("not ready\n"),
    }
}

async fn export_metrics(app_state: web::Data<AppState>) -> HttpResponse {
    let Ok(status) = app_state.shell.send(GetStatus).await else {
        return HttpResponse::ServiceUnavailable().body("the instance has stopped\n");
    };
    metrics::set_gauges(&app_state.gauges, &status.0);
    limits::set_gauges(&app_state.limits);
    match metrics::export(&app_state.registry) {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn status(app_state: web::Data<AppState>) -> HttpResponse {
    match app_state.shell.send(GetStatus).await {
        Ok(status) => HttpResponse::Ok().json(status.0),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn state(app_state: web::Data<AppState>) -> HttpResponse {
    match app_state.shell.send(GetStateDump).await {
        Ok(dump) => HttpResponse::Ok()
            .content_type("application/json")
            .body(dump),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
