//! The HTTP ports of the platform and of the targets.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use actix::Addr;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::Bytes;
use model::to_word;
use serde::Deserialize;
use tokio::sync::oneshot;

use crate::{
    effect::Effect,
    shell::{Ask, Request, Shell},
};

const SNAPSHOT_HEADER: &str = "balsam-snapshot";
const STATUS_HEADER: &str = "balsam-status";
const LOAD_HEADER: &str = "balsam-load";
const VERSION_HEADER: &str = "platform-version";

#[derive(Clone)]
struct Ports {
    shell: Addr<Shell>,
    targets: HashMap<SocketAddr, String>,
}

#[derive(Deserialize)]
struct WatchQuery {
    after_version: u64,
    wait_ms: u64,
}

/// Serves all ports until the process ends.
///
/// # Errors
///
/// Returns an error if a port cannot be opened.
pub fn spawn(
    shell: Addr<Shell>,
    platform: SocketAddr,
    targets: Vec<(String, SocketAddr)>,
) -> std::io::Result<()> {
    let addresses: Vec<SocketAddr> = targets.iter().map(|(_, address)| *address).collect();
    let targets = targets
        .into_iter()
        .map(|(name, address)| (address, name))
        .collect();
    let ports = Ports { shell, targets };
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(ports.clone()))
            .route("/v1/call", web::post().to(call))
            .route("/v1/load", web::get().to(load))
            .route("/v1/values/note", web::get().to(watch))
            .route("/v1/values/note", web::put().to(publish))
    });
    let mut server = server
        .workers(1)
        .keep_alive(Duration::from_secs(120))
        .bind(platform)?;
    for address in addresses {
        server = server.bind(address)?;
    }
    actix_rt::spawn(server.run());
    Ok(())
}

async fn call(ports: web::Data<Ports>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let Some(target) = target(&ports, &request) else {
        return HttpResponse::NotFound().finish();
    };
    let snapshot = request.headers().get(SNAPSHOT_HEADER);
    let snapshot = snapshot.and_then(|value| value.to_str().ok()?.parse().ok());
    ask(
        &ports,
        Ask::Call {
            target,
            snapshot,
            body,
        },
    )
    .await
}

async fn load(ports: web::Data<Ports>, request: HttpRequest) -> HttpResponse {
    let Some(target) = target(&ports, &request) else {
        return HttpResponse::NotFound().finish();
    };
    ask(&ports, Ask::Load { target }).await
}

async fn watch(ports: web::Data<Ports>, query: web::Query<WatchQuery>) -> HttpResponse {
    let wait = Duration::from_millis(query.wait_ms);
    ask(
        &ports,
        Ask::Watch {
            after_version: query.after_version,
            wait,
        },
    )
    .await
}

async fn publish(ports: web::Data<Ports>, body: Bytes) -> HttpResponse {
    ask(&ports, Ask::Publish { body }).await
}

fn target(ports: &Ports, request: &HttpRequest) -> Option<String> {
    ports
        .targets
        .get(&request.app_config().local_addr())
        .cloned()
}

async fn ask(ports: &Ports, ask: Ask) -> HttpResponse {
    let (reply, answer) = oneshot::channel();
    ports.shell.do_send(Request { ask, reply });
    let Ok(effect) = answer.await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    match effect {
        Effect::Reply {
            status,
            snapshot,
            load,
            body,
            ..
        } => HttpResponse::Ok()
            .insert_header((STATUS_HEADER, to_word(&status)))
            .insert_header((SNAPSHOT_HEADER, snapshot.to_string()))
            .insert_header((
                LOAD_HEADER,
                serde_json::to_string(&load).unwrap_or_default(),
            ))
            .body(body),
        Effect::Load { load, .. } => HttpResponse::Ok().json(load),
        Effect::Value { version, body, .. } => HttpResponse::Ok()
            .insert_header((VERSION_HEADER, version.to_string()))
            .content_type("application/json")
            .body(body),
        Effect::NotFound { .. } | Effect::Execute { .. } => HttpResponse::NotFound().finish(),
    }
}
