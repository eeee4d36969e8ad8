//! HTTP requests to the processes of a rig.

use std::{net::SocketAddr, time::Duration};

use awc::{Client, ClientRequest};
use serde_json::Value;

use crate::{Rig, RigError};

/// Time that a reply may take beyond what the request itself allows.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_secs(40);

/// Timeout of a query that states none.
const DEFAULT_TIMEOUT_MS: &str = "2000";

/// Largest reply that is read.
const MAX_REPLY_BYTES: usize = 64 * 1_048_576;

/// A reply of an instance to a caller.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The answer in JSON.
    pub body: Value,
}

/// Sends a query to an instance. Without a timeout header it gets one.
///
/// # Errors
///
/// Returns an error if there is no reply or if it is not JSON.
pub async fn query(
    rig: &Rig,
    instance: usize,
    front: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Reply, RigError> {
    let address = rig.instances[instance].callers;
    query_at(&rig.client, address, front, headers, body).await
}

/// Sends a query to a callers' port.
///
/// # Errors
///
/// Returns an error if there is no reply or if it is not JSON.
pub async fn query_at(
    client: &Client,
    address: SocketAddr,
    front: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Reply, RigError> {
    let url = format!("http://{address}/v1/fronts/{front}/query");
    let mut request = client.post(&url);
    if !headers.iter().any(|(name, _)| *name == "balsam-timeout-ms") {
        request = request.insert_header(("balsam-timeout-ms", DEFAULT_TIMEOUT_MS));
    }
    for header in headers {
        request = request.insert_header(*header);
    }
    let (status, body) = exchange(request, &url, body.to_owned()).await?;
    let body = parse(&url, &body)?;
    Ok(Reply { status, body })
}

/// Reads a document from any port of the rig.
///
/// # Errors
///
/// Returns an error if there is no reply or the status is not a success.
pub async fn get(client: &Client, address: SocketAddr, path: &str) -> Result<String, RigError> {
    let url = format!("http://{address}{path}");
    let (status, body) = exchange(client.get(&url), &url, String::new()).await?;
    success(&url, status, body)
}

pub(crate) async fn put(
    client: &Client,
    address: SocketAddr,
    path: &str,
    body: String,
) -> Result<String, RigError> {
    let url = format!("http://{address}{path}");
    let (status, body) = exchange(client.put(&url), &url, body).await?;
    success(&url, status, body)
}

pub(crate) fn parse(place: &str, body: &str) -> Result<Value, RigError> {
    serde_json::from_str(body).map_err(|error| RigError::NotJson(place.to_owned(), error))
}

async fn exchange(
    request: ClientRequest,
    url: &str,
    body: String,
) -> Result<(u16, String), RigError> {
    let no_reply = |error: String| RigError::NoReply(url.to_owned(), error);
    let sending = request.timeout(REPLY_TIMEOUT).send_body(body);
    let mut response = sending.await.map_err(|error| no_reply(error.to_string()))?;
    let body = response.body().limit(MAX_REPLY_BYTES).await;
    let body = body.map_err(|error| no_reply(error.to_string()))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    Ok((response.status().as_u16(), text))
}

fn success(url: &str, status: u16, body: String) -> Result<String, RigError> {
    if (200..300).contains(&status) {
        Ok(body)
    } else {
        Err(RigError::Refused(url.to_owned(), status, body))
    }
}
