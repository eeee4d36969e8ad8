//! `balsamctl status` and `balsamctl dump`: what instances say about themselves.

use std::net::SocketAddr;

use awc::Client;
use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};
use futures_util::future::join_all;
use serde_json::{Value, json};

use crate::{
    client::{REPLY_TIMEOUT, exchange, get_json},
    error::CommandError,
    exit::Exit,
};

/// Shows one row for each instance.
///
/// # Errors
///
/// Never: an instance that cannot be reached is a row of its own.
pub async fn run(instances: &[SocketAddr], is_json: bool) -> Result<Exit, CommandError> {
    let client = Client::default();
    let reading = instances.iter().map(|&address| row(&client, address));
    let rows: Vec<Value> = join_all(reading).await;
    if is_json {
        println!("{:#}", json!(rows));
    } else {
        println!("{}", render(&rows));
    }
    Ok(exit(&rows))
}

/// Prints the dump of an instance's state.
///
/// # Errors
///
/// Returns an error if the instance cannot be reached.
pub async fn dump(instance: SocketAddr) -> Result<Exit, CommandError> {
    let url = format!("http://{instance}/state");
    let dump = get_json(&Client::default(), &url).await?;
    println!("{dump:#}");
    Ok(Exit::Success)
}

async fn row(client: &Client, address: SocketAddr) -> Value {
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
    let reply = exchange(client.get(&url), &url, String::new(), REPLY_TIMEOUT).await;
    reply.is_ok_and(|reply| reply.status == 200)
}

/// Says by an exit code what the rows say.
pub(crate) fn exit(rows: &[Value]) -> Exit {
    if rows.iter().any(|row| row["error"].is_string()) {
        return Exit::Unreachable;
    }
    if rows.iter().all(|row| row["is_ready"] == true) {
        Exit::Success
    } else {
        Exit::NotReady
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
        "confirmed ms ago",
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
    let address = plain(&row["operators"]);
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
    let cells = fields.iter().map(|field| plain(&row[field]));
    std::iter::once(address).chain(cells).collect()
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
