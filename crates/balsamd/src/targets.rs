//! Calls to targets over HTTP.

use std::{net::SocketAddr, time::Duration};

use actix::Addr;
use actix_web::http::header::{CONTENT_LENGTH, HeaderMap};
use awc::{
    Client, ClientResponse, Connector,
    error::{ConnectError, SendRequestError},
};
use bytes::Bytes;
use model::{
    CallFailure, CallKey, LoadReport, ReplyStatus, Snapshot, TargetCall, TargetKey, from_word,
};
use slotmap::Key;
use tokio::task::JoinHandle;

use crate::shell::{CallEnded, LoadAnswered, Shell};

/// Header with the number of a call, unique to this run of the instance.
const CALL_HEADER: &str = "balsam-call-id";
/// Header with the identifier of the caller's request.
const REQUEST_HEADER: &str = "balsam-request-id";
/// Header with the snapshot to read or the snapshot read.
const SNAPSHOT_HEADER: &str = "balsam-snapshot";
/// Header with the time that the call may take.
const TIMEOUT_HEADER: &str = "balsam-timeout-ms";
/// Header that tells whether the target may see the call again.
const IDEMPOTENT_HEADER: &str = "balsam-idempotent";
/// Header with the word for what happened to the call.
const STATUS_HEADER: &str = "balsam-status";
/// Header with the target's load report in JSON.
const LOAD_HEADER: &str = "balsam-load";

/// Time after which an idle connection to a target is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(60);
/// Time that the opening of a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a load probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest reply of a target.
const MAX_REPLY_BYTES: usize = 4 * 1_048_576;

/// The kept-open connections to one target.
#[derive(Clone)]
pub struct Pool {
    client: Client,
    address: SocketAddr,
}

/// A target's whole reply, owned while it waits in the shell's mailbox.
#[derive(Clone, Debug)]
pub struct TargetReply {
    /// What the target says happened.
    pub status: ReplyStatus,
    /// Snapshot that the result was read from.
    pub snapshot: Snapshot,
    /// The result.
    pub body: Bytes,
    /// Load report that came with the reply.
    pub load: Option<LoadReport>,
}

/// Creates a pool of at most `connections_count` connections.
pub fn open(address: SocketAddr, connections_count: u32) -> Pool {
    let connector = Connector::new()
        .limit(connections_count as usize)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(KEEP_ALIVE)
        .conn_lifetime(Duration::from_secs(86_400));
    let client = Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish();
    Pool { client, address }
}

/// Starts a call, which reports its end to the shell; aborting the task drops its connection.
pub fn spawn_call(
    shell: &Addr<Shell>,
    pool: &Pool,
    call: &TargetCall,
    origin: &str,
) -> JoinHandle<()> {
    let sending = send(pool, call, origin);
    let shell = shell.clone();
    let key = call.call;
    actix_rt::spawn(async move {
        let result = sending.await;
        shell.do_send(CallEnded { call: key, result });
    })
}

/// Sends a call and reads its whole reply.
fn send(
    pool: &Pool,
    call: &TargetCall,
    origin: &str,
) -> impl Future<Output = Result<TargetReply, CallFailure>> + use<> {
    let url = format!("http://{}/v1/call", pool.address);
    let mut request = pool
        .client
        .post(url)
        .insert_header((CALL_HEADER, call_id(origin, call.call)))
        .insert_header((REQUEST_HEADER, &*call.request_id))
        .insert_header((TIMEOUT_HEADER, call.timeout.as_millis().to_string()))
        .insert_header((IDEMPOTENT_HEADER, call.is_idempotent.to_string()));
    if let Some(snapshot) = call.snapshot {
        request = request.insert_header((SNAPSHOT_HEADER, snapshot.to_string()));
    }
    let sending = request.send_body(call.body.clone());
    async move {
        match sending.await {
            Ok(response) => read_reply(response).await,
            Err(error) => Err(failure(&error)),
        }
    }
}

/// Tells a target that a call is no longer wanted. The call's own reply says what came of it.
pub fn spawn_cancel(pool: &Pool, call: CallKey, origin: &str) {
    let url = format!("http://{}/v1/cancel", pool.address);
    let request = pool
        .client
        .post(url)
        .insert_header((CALL_HEADER, call_id(origin, call)));
    actix_rt::spawn(async move {
        // The call's own end is what counts, so the reply to the cancellation is not needed.
        let _ = request.timeout(PROBE_TIMEOUT).send().await;
    });
}

/// Asks a target for its load report over several connections at once.
pub fn spawn_probe(shell: &Addr<Shell>, pool: &Pool, target: TargetKey, connections_count: u32) {
    for _ in 0..connections_count {
        let request = pool.client.get(format!("http://{}/v1/load", pool.address));
        let shell = shell.clone();
        actix_rt::spawn(async move {
            let result = match request.timeout(PROBE_TIMEOUT).send().await {
                Ok(mut response) => match response.json::<LoadReport>().await {
                    Ok(report) => Ok(report),
                    Err(_) => Err(CallFailure::Truncated),
                },
                Err(error) => Err(failure(&error)),
            };
            shell.do_send(LoadAnswered { target, result });
        });
    }
}

async fn read_reply(mut response: ClientResponse) -> Result<TargetReply, CallFailure> {
    let status: Option<ReplyStatus> = header(response.headers(), STATUS_HEADER).and_then(from_word);
    let snapshot = header(response.headers(), SNAPSHOT_HEADER).and_then(|text| text.parse().ok());
    let load =
        header(response.headers(), LOAD_HEADER).and_then(|text| serde_json::from_str(text).ok());
    let length = header(response.headers(), CONTENT_LENGTH.as_str());
    let length = length.and_then(|text| text.parse().ok());
    let body = response.body().limit(MAX_REPLY_BYTES).await;
    let body = body.map_err(|_| CallFailure::Truncated)?;
    // The library takes the end of the connection for the end of the body.
    if length != Some(body.len()) {
        return Err(CallFailure::Truncated);
    }
    let Some(status) = status else {
        return Err(CallFailure::Truncated);
    };
    Ok(TargetReply {
        status,
        snapshot: snapshot.unwrap_or(0),
        body,
        load,
    })
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Classifies an error by whether any byte may have reached the target.
///
/// The library reports a connection that closed before its reply as `Disconnected`, so that error
/// does not vouch for an unsent call.
fn failure(error: &SendRequestError) -> CallFailure {
    match error {
        SendRequestError::Url(_) => CallFailure::NotSent,
        SendRequestError::Connect(
            ConnectError::Timeout
            | ConnectError::Io(_)
            | ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Unresolved,
        ) => CallFailure::ConnectRefused,
        _ => CallFailure::ConnectionLost,
    }
}

fn call_id(origin: &str, call: CallKey) -> String {
    format!("{origin}:{}", call.data().as_ffi())
}

#[cfg(test)]
mod tests;
