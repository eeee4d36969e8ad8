//! HTTP calls, cancellations and load probes to the targets of queries.

use std::{net::SocketAddr, time::Duration};

use actix::Addr;
use actix_web::http::header::{CONTENT_LENGTH, HeaderMap};
use awc::{
    Client, ClientResponse, Connector,
    error::{ConnectError, SendRequestError},
};
use bytes::Bytes;
use model::{
    CallFailure, CallKey, LoadReport, ReplyStatus, Snapshot, TargetCall, TargetKey,
    variant_from_name,
};
use slotmap::Key;
use tokio::task::JoinHandle;

use crate::{
    shell::{CallEnded, ProbeEnded, Shell},
    supervise,
};

/// Header with the id of a call: `instance:incarnation:number`.
const CALL_ID_HEADER: &str = "balsam-call-id";
/// Header with the identifier of the caller's request.
const REQUEST_ID_HEADER: &str = "balsam-request-id";
/// Header with the snapshot to read from; in a reply, the snapshot that was read.
const SNAPSHOT_HEADER: &str = "balsam-snapshot";
/// Header with the time limit of the call in milliseconds.
const TIMEOUT_HEADER: &str = "balsam-timeout-ms";
/// Header that tells whether the target may receive the call more than once.
const IDEMPOTENT_HEADER: &str = "balsam-idempotent";
/// Header with the [`ReplyStatus`] of the call as a word.
const STATUS_HEADER: &str = "balsam-status";
/// Header with the target's load report in JSON.
const LOAD_HEADER: &str = "balsam-load";

/// Idle time after which a connection to a target is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(60);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of a load probe or a cancellation.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper limit of the body of a reply.
const REPLY_MAX_BYTES: usize = 4 * 1_048_576;

/// Connection pool of one target.
#[derive(Clone)]
pub struct Pool {
    client: Client,
    address: SocketAddr,
}

/// A complete reply of a target; it owns its data, since it waits in the shell's mailbox.
#[derive(Clone, Debug)]
pub struct TargetReply {
    /// Outcome of the call according to the target.
    pub status: ReplyStatus,
    /// Snapshot that the result was read from; 0 if the reply states none.
    pub snapshot: Snapshot,
    /// The result.
    pub body: Bytes,
    /// Load report from the reply's header; absent if the header is missing or cannot be parsed.
    pub load: Option<LoadReport>,
}

/// Creates a pool of at most `connections_count` connections, which are opened when they are
/// needed.
pub fn open_pool(address: SocketAddr, connections_count: u32) -> Pool {
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

/// Starts a call, whose end is reported as [`CallEnded`]. Aborting the task drops the connection
/// and reports nothing.
pub fn spawn_call(
    shell: &Addr<Shell>,
    pool: &Pool,
    call: &TargetCall,
    call_id_prefix: &str,
) -> JoinHandle<()> {
    let sending = send(pool, call, call_id_prefix);
    let shell = shell.clone();
    let key = call.call;
    actix_rt::spawn(async move {
        let _guard = supervise::on_panic({
            let shell = shell.clone();
            move || {
                let result = Err(CallFailure::ConnectionLost);
                shell.do_send(CallEnded { call: key, result });
            }
        });
        let result = sending.await;
        shell.do_send(CallEnded { call: key, result });
    })
}

/// Sends a call and reads its complete reply.
fn send(
    pool: &Pool,
    call: &TargetCall,
    call_id_prefix: &str,
) -> impl Future<Output = Result<TargetReply, CallFailure>> + use<> {
    let url = format!("http://{}/v1/call", pool.address);
    let call_id = call_id(call_id_prefix, call.call);
    let mut request = pool
        .client
        .post(url)
        .insert_header((CALL_ID_HEADER, call_id.as_str()))
        .insert_header((REQUEST_ID_HEADER, &*call.request_id))
        .insert_header((TIMEOUT_HEADER, call.timeout.as_millis().to_string()))
        .insert_header((IDEMPOTENT_HEADER, call.is_idempotent.to_string()));
    if let Some(snapshot) = call.snapshot {
        request = request.insert_header((SNAPSHOT_HEADER, snapshot.to_string()));
    }
    let sending = request.send_body(call.body.clone());
    async move {
        match sending.await {
            Ok(response) => read_reply(response, &call_id).await,
            Err(error) => Err(classify(&error)),
        }
    }
}

/// Asks a target to cancel a call. The reply to the call itself tells whether it was cancelled.
pub fn spawn_cancel(pool: &Pool, call: CallKey, call_id_prefix: &str) {
    let url = format!("http://{}/v1/cancel", pool.address);
    let request = pool
        .client
        .post(url)
        .insert_header((CALL_ID_HEADER, call_id(call_id_prefix, call)));
    actix_rt::spawn(async move {
        // The end of the call itself is reported, so the reply to the cancellation is not needed.
        let _ = request.timeout(PROBE_TIMEOUT).send().await;
    });
}

/// Sends `connections_count` load probes to a target at once, which opens as many connections; each
/// reports its end as [`ProbeEnded`].
pub fn spawn_probe(shell: &Addr<Shell>, pool: &Pool, target: TargetKey, connections_count: u32) {
    for _ in 0..connections_count {
        let request = pool.client.get(format!("http://{}/v1/load", pool.address));
        let shell = shell.clone();
        actix_rt::spawn(async move {
            let _guard = supervise::on_panic({
                let shell = shell.clone();
                move || {
                    let result = Err(CallFailure::ConnectionLost);
                    shell.do_send(ProbeEnded { target, result });
                }
            });
            let result = match request.timeout(PROBE_TIMEOUT).send().await {
                Ok(mut response) => match response.json::<LoadReport>().await {
                    Ok(report) => Ok(report),
                    Err(_) => Err(CallFailure::Truncated),
                },
                Err(error) => Err(classify(&error)),
            };
            shell.do_send(ProbeEnded { target, result });
        });
    }
}

/// Reads the reply to a call. One that names no call or another one is not its own: it may be a late
/// second copy of the previous reply on the connection. Dropped unread, it closes the connection.
async fn read_reply(
    mut response: ClientResponse,
    call_id: &str,
) -> Result<TargetReply, CallFailure> {
    if header_text(response.headers(), CALL_ID_HEADER) != Some(call_id) {
        return Err(CallFailure::Truncated);
    }
    let status: Option<ReplyStatus> =
        header_text(response.headers(), STATUS_HEADER).and_then(variant_from_name);
    let snapshot =
        header_text(response.headers(), SNAPSHOT_HEADER).and_then(|text| text.parse().ok());
    let load = header_text(response.headers(), LOAD_HEADER)
        .and_then(|text| serde_json::from_str(text).ok());
    let length = header_text(response.headers(), CONTENT_LENGTH.as_str());
    let length = length.and_then(|text| text.parse().ok());
    let body = response.body().limit(REPLY_MAX_BYTES).await;
    let body = body.map_err(|_| CallFailure::Truncated)?;
    // awc takes a closed connection for the end of the body, so only the length reveals a loss.
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

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Classifies an error by whether any byte of the call may have reached the target.
///
/// awc reports `Disconnected` also for a connection that closed before the reply, so that error
/// does not prove that the call was not sent.
fn classify(error: &SendRequestError) -> CallFailure {
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

fn call_id(call_id_prefix: &str, call: CallKey) -> String {
    format!("{call_id_prefix}:{}", call.data().as_ffi())
}

#[cfg(test)]
mod tests;
