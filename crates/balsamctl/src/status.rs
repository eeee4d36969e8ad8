//! `balsamctl status` and `balsamctl dump`: show the status and the state of instances.

use std::net::SocketAddr;

use awc::Client;
use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};
use futures_util::future::join_all;
use serde_json::{Value, json};

use crate::{
    client::{REPLY_TIMEOUT, get_json, send_request},
    error::CommandError,
    exit::ExitStatus,
};

/// Prints one row for each instance.
///
/// # Errors
///
/// Never returns an error: the row of an instance that cannot be reached shows the error.
pub async fn run(instances: &[SocketAddr], is_json: bool) -> Result<ExitStatus, CommandError> {
    let client = Client::default();
    let reads = instances.iter().map(|&address| read_row(&client, address));
    let rows: Vec<Value> = join_all(reads).await;
    if is_json {
        println!("{:#}", json!(rows));
    } else {
        println!("{}", render(&rows));
    }
    Ok(exit_status(&rows))
}

/// Prints the complete state of an instance as JSON.
///
/// # Errors
///
/// Returns an error if the instance does not reply with status 200 and JSON.
pub async fn dump(instance: SocketAddr) -> Result<ExitStatus, CommandError> {
    let url = format!("http://{instance}/state");
    let dump = get_json(&Client::default(), &url).await?;
    println!("{dump:#}");
    Ok(ExitStatus::Success)
}

async fn read_row(client: &Client, address: SocketAddr) -> Value {
    let url = format!("http://{address}/status");
    match get_json(client, &url).await {
        Ok(mut status) => {
            status["operators"] = json!(address);
            status["is_ready"] = json!(is_ready(client, address).await);
            status
        }
        Err(error) => json!({"operators": address, "error": error.to_string()}),
    }
}

async fn is_ready(client: &Client, address: SocketAddr) -> bool {
    let url = format!("http://{address}/ready");
    let reply = send_request(client.get(&url), &url, String::new(), REPLY_TIMEOUT).await;
    reply.is_ok_and(|reply| reply.status == 200)
}

/// Returns the exit code for the rows of all instances.
pub(crate) fn exit_status(rows: &[Value]) -> ExitStatus {
    if rows.iter().any(|row| row["error"].is_string()) {
        return ExitStatus::Unreachable;
    }
    if rows.iter().all(|row| row["is_ready"] == true) {
        ExitStatus::Success
    } else {
        ExitStatus::NotReady
    }
}

fn render(rows: &[Value]) -> String {
    let mut table = Table::new();
    table.load_style(UTF8_FULL_CONDENSED);
    table.set_header([
        "operators' port",
        "instance",
        "zone",
        "revision",
        "confirmed (ms ago)",
        "ready",
        "running",
        "waiting",
    ]);
    for row in rows {
        table.add_row(cells(row));
    }
    table.to_string()
}

fn cells(row: &Value) -> Vec<String> {
    let address = cell_text(&row["operators"]);
    if let Some(error) = row["error"].as_str() {
        return vec![address, error.to_owned()];
    }
    let fields = [
        "name",
        "zone",
        "revision",
        "confirmed_ms",
        "is_ready",
        "running_count",
        "waiting_count",
    ];
    let cells = fields.iter().map(|field| cell_text(&row[field]));
    std::iter::once(address).chain(cells).collect()
}

fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
