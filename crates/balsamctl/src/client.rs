//! HTTP requests to instances.

use std::time::Duration;

use awc::{Client, ClientRequest};
use serde_json::Value;

use crate::error::CommandError;

/// Timeout of a request, on top of any time that the request lets the instance take.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest reply body that is accepted.
const MAX_REPLY_BYTES: usize = 64 * 1_048_576;

/// A reply whose body has been read completely.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// Sends a request and reads the whole reply, whatever its status.
///
/// # Errors
///
/// Returns an error if there is no complete reply within the timeout.
pub async fn send_request(
    request: ClientRequest,
    url: &str,
    body: String,
    timeout: Duration,
) -> Result<Reply, CommandError> {
    let no_reply = |error: String| CommandError::NoReply(url.to_owned(), error);
    let sent = request.timeout(timeout).send_body(body);
    let mut response = sent.await.map_err(|error| no_reply(error.to_string()))?;
    let body = response.body().limit(MAX_REPLY_BYTES).await;
    let body = body.map_err(|error| no_reply(error.to_string()))?;
    Ok(Reply {
        status: response.status().as_u16(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Sends a GET request and parses the reply as JSON.
///
/// # Errors
///
/// Returns an error if there is no reply, its status is not 200, or it is not JSON.
pub async fn get_json(client: &Client, url: &str) -> Result<Value, CommandError> {
    let reply = send_request(client.get(url), url, String::new(), REPLY_TIMEOUT).await?;
    if reply.status != 200 {
        return Err(CommandError::ErrorStatus(
            url.to_owned(),
            reply.status,
            reply.body,
        ));
    }
    parse_json(url, &reply.body)
}

/// Parses the body of a reply as JSON; `url` appears in the error.
///
/// # Errors
///
/// Returns an error if the body is not JSON.
pub fn parse_json(url: &str, body: &str) -> Result<Value, CommandError> {
    serde_json::from_str(body).map_err(|error| CommandError::NotJson(url.to_owned(), error))
}
