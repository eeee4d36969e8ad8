//! HTTP requests to the processes of a rig.

use std::{net::SocketAddr, time::Duration};

use awc::{Client, ClientRequest};
use serde_json::Value;

use crate::{Rig, RigError};

/// Timeout of a request; must exceed the query timeout or `wait_ms` that the request carries.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_secs(40);

/// Value of the header `balsam-timeout-ms` for queries without one.
const DEFAULT_TIMEOUT_MS: &str = "2000";

/// Largest reply body that is accepted.
const MAX_REPLY_BYTES: usize = 64 * 1_048_576;

/// The reply of an instance to a query.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The body, parsed as JSON.
    pub body: Value,
}

/// Sends a query to an instance; adds a timeout header if `headers` has none.
///
/// # Errors
///
/// Returns an error if there is no reply or if it is not JSON.
pub async fn query(
    rig: &Rig,
    index: usize,
    front: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Reply, RigError> {
    let address = rig.instances[index].callers;
    query_at(&rig.client, address, front, headers, body).await
}

/// Sends a query to a callers' port; adds a timeout header if `headers` has none.
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
    let (status, body) = send_request(request, &url, body.to_owned()).await?;
    let body = parse_json(&url, &body)?;
    Ok(Reply { status, body })
}

/// Sends a GET request to any port of the rig and returns the body of the reply.
///
/// # Errors
///
/// Returns an error if there is no reply or its status is not 2xx.
pub async fn get(client: &Client, address: SocketAddr, path: &str) -> Result<String, RigError> {
    let url = format!("http://{address}{path}");
    let (status, body) = send_request(client.get(&url), &url, String::new()).await?;
    check_status(&url, status, body)
}

pub(crate) async fn put(
    client: &Client,
    address: SocketAddr,
    path: &str,
    body: String,
) -> Result<String, RigError> {
    let url = format!("http://{address}{path}");
    let (status, body) = send_request(client.put(&url), &url, body).await?;
    check_status(&url, status, body)
}

pub(crate) fn parse_json(source: &str, body: &str) -> Result<Value, RigError> {
    serde_json::from_str(body).map_err(|error| RigError::NotJson(source.to_owned(), error))
}

async fn send_request(
    request: ClientRequest,
    url: &str,
    body: String,
) -> Result<(u16, String), RigError> {
    let no_reply = |error: String| RigError::NoReply(url.to_owned(), error);
    let sent = request.timeout(REPLY_TIMEOUT).send_body(body);
    let mut response = sent.await.map_err(|error| no_reply(error.to_string()))?;
    let body = response.body().limit(MAX_REPLY_BYTES).await;
    let body = body.map_err(|error| no_reply(error.to_string()))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    Ok((response.status().as_u16(), text))
}

fn check_status(url: &str, status: u16, body: String) -> Result<String, RigError> {
    if (200..300).contains(&status) {
        Ok(body)
    } else {
        Err(RigError::ErrorStatus(url.to_owned(), status, body))
    }
}
