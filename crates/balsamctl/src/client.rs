//! HTTP requests to instances.

use std::time::Duration;

use awc::{Client, ClientRequest};
use serde_json::Value;

use crate::error::CommandError;

/// Time that a reply may take beyond what the request itself allows.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest reply that is read.
const MAX_REPLY_BYTES: usize = 64 * 1_048_576;

/// A whole reply.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// Sends a request and reads the whole reply.
///
/// # Errors
///
/// Returns an error if there is no reply.
pub async fn exchange(
    request: ClientRequest,
    url: &str,
    body: String,
    timeout: Duration,
) -> Result<Reply, CommandError> {
    let no_reply = |error: String| CommandError::NoReply(url.to_owned(), error);
    let sending = request.timeout(timeout).send_body(body);
    let mut response = sending.await.map_err(|error| no_reply(error.to_string()))?;
    let body = response.body().limit(MAX_REPLY_BYTES).await;
    let body = body.map_err(|error| no_reply(error.to_string()))?;
    Ok(Reply {
        status: response.status().as_u16(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Reads a document in JSON.
///
/// # Errors
///
/// Returns an error if there is no reply, its status is not a success, or it is not JSON.
pub async fn get_json(client: &Client, url: &str) -> Result<Value, CommandError> {
    let reply = exchange(client.get(url), url, String::new(), REPLY_TIMEOUT).await?;
    if reply.status != 200 {
        return Err(CommandError::Refused(
            url.to_owned(),
            reply.status,
            reply.body,
        ));
    }
    parse(url, &reply.body)
}

/// Reads a JSON document out of a reply.
///
/// # Errors
///
/// Returns an error if it is not JSON.
pub fn parse(url: &str, body: &str) -> Result<Value, CommandError> {
    serde_json::from_str(body).map_err(|error| CommandError::NotJson(url.to_owned(), error))
}
