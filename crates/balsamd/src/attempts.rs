//! Connections to the targets of the gateway: a task for each, which carries one request at a time.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix::Addr;
use actix_http::{RequestHead, ServiceConfig};
use model::{AttemptCall, CallFailure, HttpRequest, TargetKey};
use platform::Reply;
use slotmap::SecondaryMap;
use tokio::{
    sync::mpsc::{self, error::TrySendError},
    task::AbortHandle,
};

use crate::{
    client::{self, ClientError, Connection, Response},
    exchanges::AttemptEnded,
    shell::Shell,
};

/// Time before the peer's own limit at which an idle connection is closed, so that a request does
/// not cross the peer's close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed if the peer states no limit.
const IDLE_MAX: Duration = Duration::from_secs(20);

/// An attempt on its way to a connection, with the head that all attempts of its request share.
#[derive(Clone, Debug)]
struct Outgoing {
    call: AttemptCall,
    head: Option<Rc<RequestHead>>,
}

/// The request that was encoded last; the attempts of one request mostly follow each other.
#[derive(Clone, Debug, Default)]
pub struct LastHead {
    request: Option<Arc<HttpRequest>>,
    head: Option<Rc<RequestHead>>,
}

/// A connection that can carry a request.
#[derive(Clone, Debug)]
pub struct Carrier {
    calls: mpsc::Sender<Outgoing>,
    task: AbortHandle,
}

/// The idle connections of each target.
pub type Idle = SecondaryMap<TargetKey, Vec<Carrier>>;

/// Sends a request on an idle connection, or on a new one; returns what carries it.
pub fn send(
    idle: &mut Idle,
    shell: &Addr<Shell>,
    config: &ServiceConfig,
    last: &mut LastHead,
    call: AttemptCall,
) -> Carrier {
    let head = encode(last, &call.request);
    let mut call = Outgoing { call, head };
    let mut carriers = idle.get_mut(call.call.target);
    // The connection that was used last has most of its idle time left.
    while let Some(carrier) = carriers.as_mut().and_then(|carriers| carriers.pop()) {
        match carrier.calls.try_send(call) {
            Ok(()) => return carrier,
            // The connection has ended while it was idle.
            Err(TrySendError::Closed(unsent) | TrySendError::Full(unsent)) => call = unsent,
        }
    }
    spawn(shell.clone(), config.clone(), call)
}

fn encode(last: &mut LastHead, request: &Arc<HttpRequest>) -> Option<Rc<RequestHead>> {
    let is_same = |known: &Arc<HttpRequest>| Arc::ptr_eq(known, request);
    if !last.request.as_ref().is_some_and(is_same) {
        *last = LastHead {
            request: Some(request.clone()),
            head: platform::encode_request(request).map(Rc::new),
        };
    }
    last.head.clone()
}

/// Keeps a connection for the next request.
pub fn keep(idle: &mut Idle, target: TargetKey, carrier: Carrier) {
    if let Some(carriers) = idle.entry(target) {
        carriers.or_default().push(carrier);
    }
}

/// Drops a connection, whatever it carries.
pub fn close(carrier: Carrier) {
    carrier.task.abort();
}

/// Opens a connection for a request.
fn spawn(shell: Addr<Shell>, config: ServiceConfig, call: Outgoing) -> Carrier {
    let (calls, receiver) = mpsc::channel(1);
    let sender = calls.clone();
    let running = actix_rt::spawn(async move {
        let address = call.call.address;
        let connection = match client::open(address, config).await {
            Ok(connection) => connection,
            Err(error) => {
                report(&shell, &call.call, Err(failure(&error)), false);
                return;
            }
        };
        // The shell holds a sender of its own while the connection is in use or idle.
        drop(sender);
        carry(shell, connection, receiver, call).await;
    });
    Carrier {
        calls,
        task: running.abort_handle(),
    }
}

/// Carries requests until the connection ends or stays idle for too long.
async fn carry(
    shell: Addr<Shell>,
    mut connection: Connection,
    mut calls: mpsc::Receiver<Outgoing>,
    mut call: Outgoing,
) {
    loop {
        let (response, kept) = match send_one(connection, &call).await {
            Ok(sent) => sent,
            Err(error) => return report(&shell, &call.call, Err(failure(&error)), false),
        };
        connection = kept;
        let idle_limit = platform::idle_timeout(&response.head);
        let idle_limit = idle_limit.map_or(IDLE_MAX, |limit| limit.saturating_sub(IDLE_MARGIN));
        let is_reusable = response.is_reusable && !idle_limit.is_zero();
        let reply = platform::decode_reply(&response.head, response.body, call.call.is_passed_on);
        let result = reply.map_err(|_| CallFailure::Truncated);
        report(&shell, &call.call, result, is_reusable);
        if !is_reusable {
            return;
        }
        let next = tokio::select! {
            next = calls.recv() => next,
            () = client::idle_end(&mut connection) => None,
            () = actix_rt::time::sleep(idle_limit) => None,
        };
        let Some(next) = next else {
            return end_idle(&shell, calls).await;
        };
        call = next;
    }
}

/// Reports a request that crossed the end of its idle connection as unsent.
async fn end_idle(shell: &Addr<Shell>, mut calls: mpsc::Receiver<Outgoing>) {
    calls.close();
    while let Some(call) = calls.recv().await {
        report(shell, &call.call, Err(CallFailure::NotSent), false);
    }
}

async fn send_one(
    connection: Connection,
    call: &Outgoing,
) -> Result<(Response, Connection), ClientError> {
    let head = call.head.clone().ok_or(ClientError::Unwritable)?;
    let headers = platform::encode_attempt(&call.call).ok_or(ClientError::Unwritable)?;
    let request = &call.call.request;
    let is_answer = |head: &_| platform::is_reply_to(head, &request.request_id);
    client::exchange(connection, head, Some(headers), &request.body, is_answer).await
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

/// Classifies an error by whether any byte may have reached the target.
fn failure(error: &ClientError) -> CallFailure {
    match error {
        ClientError::Connect(_) => CallFailure::ConnectRefused,
        ClientError::Unwritable => CallFailure::NotSent,
        ClientError::Lost(_) => CallFailure::ConnectionLost,
        ClientError::Truncated(_) | ClientError::Malformed(_) => CallFailure::Truncated,
    }
}
