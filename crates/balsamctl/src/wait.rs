//! `balsamctl wait`: until every instance is ready at a revision.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use futures_util::future::join_all;
use model::Revision;
use serde_json::json;

use crate::{
    client::{REPLY_TIMEOUT, exchange},
    error::CommandError,
    exit::Exit,
};

/// Waits until every instance is ready and has accepted a revision or a later one.
///
/// # Errors
///
/// Returns an error if an instance cannot be reached.
pub async fn run(
    instances: &[SocketAddr],
    revision: Revision,
    limit: Duration,
    is_json: bool,
) -> Result<Exit, CommandError> {
    let client = Client::default();
    let waiting = instances
        .iter()
        .map(|&address| wait_for(&client, address, revision, limit));
    let mut late = Vec::new();
    for (address, outcome) in instances.iter().zip(join_all(waiting).await) {
        if !outcome? {
            late.push(address);
        }
    }
    if is_json {
        println!("{:#}", json!({"revision": revision, "late": late}));
    } else if late.is_empty() {
        println!("revision {revision} is in force at every instance");
    } else {
        let late: Vec<String> = late.iter().map(ToString::to_string).collect();
        let late = late.join(", ");
        println!("revision {revision} is not in force at {late}");
    }
    Ok(if late.is_empty() {
        Exit::Success
    } else {
        Exit::TimedOut
    })
}

async fn wait_for(
    client: &Client,
    address: SocketAddr,
    revision: Revision,
    limit: Duration,
) -> Result<bool, CommandError> {
    let wait_ms = limit.as_millis();
    let url = format!("http://{address}/ready?revision={revision}&wait_ms={wait_ms}");
    let timeout = limit + REPLY_TIMEOUT;
    let reply = exchange(client.get(&url), &url, String::new(), timeout).await?;
    Ok(reply.status == 200)
}
