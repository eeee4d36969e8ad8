//! HTTP server of the fake platform.

use std::{net::SocketAddr, time::Duration};

use actix::Addr;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, http::header::USER_AGENT, web};
use serde::Deserialize;

use super::submit;
use crate::shell::{OwnedRequest, Shell};

type Context = web::Data<Addr<Shell>>;

#[derive(Deserialize)]
struct WatchQuery {
    after_version: u64,
    wait_ms: u64,
}

/// Starts the server; it runs until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn(shell: Addr<Shell>, address: SocketAddr) -> std::io::Result<()> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(shell.clone()))
            .route("/v1/values/note", web::get().to(watch))
            .route("/v1/instances", web::get().to(instances))
    });
    let server = server.workers(1).disable_signals().bind(address)?;
    actix_rt::spawn(server.run());
    Ok(())
}

async fn watch(
    shell: Context,
    request: HttpRequest,
    query: web::Query<WatchQuery>,
) -> HttpResponse {
    let request = OwnedRequest::Watch {
        reader: reader_name(&request),
        after_version: query.after_version,
        wait: Duration::from_millis(query.wait_ms),
    };
    submit(&shell, request).await
}

async fn instances(shell: Context, request: HttpRequest) -> HttpResponse {
    let reader = reader_name(&request);
    submit(&shell, OwnedRequest::Instances { reader }).await
}

/// Returns the reader's name: the part of its `User-Agent` after the first slash, or all of it.
fn reader_name(request: &HttpRequest) -> String {
    let agent = request.headers().get(USER_AGENT);
    let agent = agent.and_then(|agent| agent.to_str().ok()).unwrap_or("");
    let name = agent.split_once('/').map_or(agent, |(_, name)| name);
    name.to_owned()
}
