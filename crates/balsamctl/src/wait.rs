//! `balsamctl wait`: waits until every instance is ready at a revision.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use futures_util::future::join_all;
use model::Revision;
use serde_json::json;

use crate::{
    client::{REPLY_TIMEOUT, send_request},
    error::CommandError,
    exit::ExitStatus,
};

/// Waits until every instance is ready at a revision or a later one, or the time limit is reached.
///
/// # Errors
///
/// Returns an error if an instance cannot be reached.
pub async fn run(
    instances: &[SocketAddr],
    revision: Revision,
    limit: Duration,
    is_json: bool,
) -> Result<ExitStatus, CommandError> {
    let client = Client::default();
    let waits = instances
        .iter()
        .map(|&address| wait_ready(&client, address, revision, limit));
    let mut not_ready = Vec::new();
    for (address, is_ready) in instances.iter().zip(join_all(waits).await) {
        if !is_ready? {
            not_ready.push(address);
        }
    }
    if is_json {
        println!("{:#}", json!({"revision": revision, "late": not_ready}));
    } else if not_ready.is_empty() {
        println!("revision {revision} is in force at every instance");
    } else {
        let not_ready: Vec<String> = not_ready.iter().map(ToString::to_string).collect();
        let not_ready = not_ready.join(", ");
        println!("revision {revision} is not in force at {not_ready}");
    }
    Ok(if not_ready.is_empty() {
        ExitStatus::Success
    } else {
        ExitStatus::TimedOut
    })
}

/// Returns whether the instance is ready at the revision before the limit.
async fn wait_ready(
    client: &Client,
    address: SocketAddr,
    revision: Revision,
    limit: Duration,
) -> Result<bool, CommandError> {
    let wait_ms = limit.as_millis();
    let url = format!("http://{address}/ready?revision={revision}&wait_ms={wait_ms}");
    let timeout = limit + REPLY_TIMEOUT;
    let reply = send_request(client.get(&url), &url, String::new(), timeout).await?;
    Ok(reply.status == 200)
}
