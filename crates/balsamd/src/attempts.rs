//! Connections to the targets of the gateway. Each has a task, which sends one request at a time.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix::Addr;
use actix_http::RequestHead;
use model::{AttemptCall, CallFailure, HttpRequest, TargetKey};
use platform::Reply;
use slotmap::SecondaryMap;
use tokio::{
    sync::mpsc::{self, error::TrySendError},
    task::AbortHandle,
};

use crate::{
    client::{self, ClientConfig, ClientError, Connection, Relation, Response},
    gateway_messages::AttemptEnded,
    shell::Shell,
    supervise::{self, OnPanic},
};

/// Margin by which an idle connection is closed before the target's idle time-out, so that no
/// request is sent while the target closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Idle time after which a connection is closed if the target states no time-out.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// An attempt to send, with the encoded head that all attempts of its request share; the head is
/// absent if the request cannot be written as HTTP.
#[derive(Clone, Debug)]
struct OutgoingAttempt {
    call: AttemptCall,
    head: Option<Rc<RequestHead>>,
}

/// Cache of the head that was encoded last; the attempts of one request mostly follow each other.
#[derive(Clone, Debug, Default)]
pub struct HeadCache {
    request: Option<Arc<HttpRequest>>,
    head: Option<Rc<RequestHead>>,
}

/// Handle to a connection's task, whose queue holds at most one attempt; an idle connection closes
/// when its handle is dropped.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    queue: mpsc::Sender<OutgoingAttempt>,
    task: AbortHandle,
}

/// Idle connections by target; the last one was used last.
pub type IdleConnections = SecondaryMap<TargetKey, Vec<ConnectionHandle>>;

/// Sends a request on an idle connection of its target, or on a new one; returns that connection.
/// The end is reported as [`AttemptEnded`].
pub fn send(
    idle: &mut IdleConnections,
    shell: &Addr<Shell>,
    config: &ClientConfig,
    cache: &mut HeadCache,
    call: AttemptCall,
) -> ConnectionHandle {
    let head = encode_head(cache, &call.request);
    let mut attempt = OutgoingAttempt { call, head };
    let mut handles = idle.get_mut(attempt.call.target);
    // Last in, first out: the connection that was used last has most of its idle time left.
    while let Some(handle) = handles.as_mut().and_then(|handles| handles.pop()) {
        match handle.queue.try_send(attempt) {
            Ok(()) => return handle,
            // The connection has closed while it was idle.
            Err(TrySendError::Closed(unsent) | TrySendError::Full(unsent)) => attempt = unsent,
        }
    }
    spawn_connection(shell.clone(), config.clone(), attempt)
}

fn encode_head(cache: &mut HeadCache, request: &Arc<HttpRequest>) -> Option<Rc<RequestHead>> {
    let is_same = |known: &Arc<HttpRequest>| Arc::ptr_eq(known, request);
    if !cache.request.as_ref().is_some_and(is_same) {
        *cache = HeadCache {
            request: Some(request.clone()),
            head: platform::encode_request(request).map(Rc::new),
        };
    }
    cache.head.clone()
}

/// Returns a connection to the idle ones of its target.
pub fn release(idle: &mut IdleConnections, target: TargetKey, handle: ConnectionHandle) {
    if let Some(handles) = idle.entry(target) {
        handles.or_default().push(handle);
    }
}

/// Drops a connection, even while it carries a request; no end is reported.
pub fn close(handle: ConnectionHandle) {
    handle.task.abort();
}

/// Starts the task of a new connection, with its first request.
fn spawn_connection(
    shell: Addr<Shell>,
    config: ClientConfig,
    attempt: OutgoingAttempt,
) -> ConnectionHandle {
    let (queue, receiver) = mpsc::channel(1);
    let sender = queue.clone();
    let task = actix_rt::spawn(async move {
        let address = attempt.call.address;
        let guard = report_on_panic(&shell, &attempt.call);
        let connection = match client::open(address, config).await {
            Ok(connection) => connection,
            Err(error) => {
                report(&shell, &attempt.call, Err(classify(&error)), false);
                return;
            }
        };
        // From here on only the shell's handle keeps the connection open.
        drop(sender);
        drop(guard);
        run(shell, connection, receiver, attempt).await;
    });
    ConnectionHandle {
        queue,
        task: task.abort_handle(),
    }
}

/// Sends requests until the connection closes or its idle time is over.
async fn run(
    shell: Addr<Shell>,
    mut connection: Connection,
    mut queue: mpsc::Receiver<OutgoingAttempt>,
    mut attempt: OutgoingAttempt,
) {
    loop {
        let guard = report_on_panic(&shell, &attempt.call);
        let (response, returned) = match send_attempt(connection, &attempt).await {
            Ok(sent) => sent,
            Err(error) => return report(&shell, &attempt.call, Err(classify(&error)), false),
        };
        connection = returned;
        let idle_timeout = platform::idle_timeout(&response.head);
        let idle_timeout =
            idle_timeout.map_or(IDLE_TIMEOUT, |limit| limit.saturating_sub(IDLE_MARGIN));
        let is_reusable = response.is_reusable && !idle_timeout.is_zero();
        let reply =
            platform::decode_reply(&response.head, response.body, attempt.call.returns_headers);
        let result = reply.map_err(|_| CallFailure::Truncated);
        report(&shell, &attempt.call, result, is_reusable);
        drop(guard);
        if !is_reusable {
            return;
        }
        let next = tokio::select! {
            next = queue.recv() => next,
            () = client::wait_idle_close(&mut connection) => None,
            () = actix_rt::time::sleep(idle_timeout) => None,
        };
        let Some(next) = next else {
            return report_unsent(&shell, queue).await;
        };
        attempt = next;
    }
}

/// Closes the queue of an idle connection that has ended, and reports a request that was already
/// in it as not sent.
async fn report_unsent(shell: &Addr<Shell>, mut queue: mpsc::Receiver<OutgoingAttempt>) {
    queue.close();
    while let Some(attempt) = queue.recv().await {
        report(shell, &attempt.call, Err(CallFailure::NotSent), false);
    }
}

async fn send_attempt(
    connection: Connection,
    attempt: &OutgoingAttempt,
) -> Result<(Response, Connection), ClientError> {
    let head = attempt.head.clone().ok_or(ClientError::Unwritable)?;
    let headers = platform::encode_attempt(&attempt.call).ok_or(ClientError::Unwritable)?;
    let request = &attempt.call.request;
    let relation = |head: &_| match platform::named_request(head) {
        Some(id) if id == request.request_id => Relation::Own,
        Some(_) => Relation::Stray,
        None => Relation::Unnamed,
    };
    client::exchange(connection, head, Some(headers), &request.body, relation).await
}

/// Returns a guard that reports an attempt as lost if the task that holds it panics.
fn report_on_panic(shell: &Addr<Shell>, call: &AttemptCall) -> OnPanic<impl FnOnce() + use<>> {
    let shell = shell.clone();
    let (attempt, target) = (call.attempt, call.target);
    supervise::on_panic(move || {
        shell.do_send(AttemptEnded {
            attempt,
            target,
            result: Err(CallFailure::ConnectionLost),
            is_reusable: false,
        });
    })
}

fn report(
    shell: &Addr<Shell>,
    call: &AttemptCall,
    result: Result<Reply, CallFailure>,
    is_reusable: bool,
) {
    shell.do_send(AttemptEnded {
        attempt: call.attempt,
        target: call.target,
        result,
        is_reusable,
    });
}

/// Classifies an error by whether any byte of the request may have reached the target.
fn classify(error: &ClientError) -> CallFailure {
    match error {
        ClientError::Connect(_) => CallFailure::ConnectRefused,
        ClientError::Unwritable => CallFailure::NotSent,
        ClientError::Lost(_) => CallFailure::ConnectionLost,
        ClientError::Truncated(_) | ClientError::Malformed(_) => CallFailure::Truncated,
    }
}
