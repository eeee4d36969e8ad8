//! Messages that the actor turns into the gateway's events: callers' requests, the ends of attempts
//! and of store reads, and store changes that the zone's reader shares.

use std::{
    borrow::Cow,
    sync::{Arc, OnceLock},
    time::Duration,
};

use actix::{Context, Handler, Message};
use model::{
    AttemptKey, AttemptReply, CallFailure, CallerKey, Counter, Event, HttpRequest, HttpResponse,
    Level, LogLine, StoreBody, StoreChanges, StoreFailure, StoreRead, TargetKey,
};
use platform::{Reply, StoreResponse};
use tokio::sync::oneshot;

use crate::{
    attempts, metrics,
    shell::{ReplySender, Shell, dispatch},
};

/// A request from the gateway's port.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct GatewayRequest {
    /// The request.
    pub request: Arc<HttpRequest>,
    /// Receives the response.
    pub reply: oneshot::Sender<HttpResponse>,
    /// Receives the key of the caller, for [`CallerGone`](crate::shell::CallerGone).
    pub key: Arc<OnceLock<CallerKey>>,
}

impl Handler<GatewayRequest> for Shell {
    type Result = ();

    fn handle(&mut self, message: GatewayRequest, context: &mut Self::Context) {
        let caller = self.reply_senders.insert(ReplySender::Http(message.reply));
        // Only this handler sets the cell, and once, so this cannot fail.
        let _ = message.key.set(caller);
        let request = message.request;
        dispatch(self, context, Event::HttpRequest { caller, request });
    }
}

/// The end of an attempt.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct AttemptEnded {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The target it was sent to.
    pub target: TargetKey,
    /// The reply or the failure.
    pub result: Result<Reply, CallFailure>,
    /// Whether its connection can carry another request.
    pub is_reusable: bool,
}

impl Handler<AttemptEnded> for Shell {
    type Result = ();

    fn handle(&mut self, message: AttemptEnded, context: &mut Self::Context) {
        let attempt = message.attempt;
        let handle = self.attempts.remove(attempt);
        if let Some(handle) = handle
            && message.is_reusable
        {
            attempts::release(&mut self.idle_connections, message.target, handle);
        }
        let event = match &message.result {
            Ok(reply) => Event::AttemptReplied {
                attempt,
                reply: AttemptReply {
                    status: reply.status,
                    code: reply.code,
                    proof: reply.proof.as_deref(),
                    headers: Cow::Borrowed(&reply.headers),
                    body: reply.body.clone(),
                    report: reply.report,
                },
            },
            &Err(failure) => Event::AttemptFailed { attempt, failure },
        };
        dispatch(self, context, event);
    }
}

/// The end of a read of the store.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct StoreReadEnded {
    /// The read.
    pub read: StoreRead,
    /// Era of the store that the response states; 0 if there is none.
    pub era: u64,
    /// The decoded value with the undecoded body, or the failure.
    pub result: Result<(StoreResponse, StoreBody), StoreFailure>,
}

impl Handler<StoreReadEnded> for Shell {
    type Result = ();

    fn handle(&mut self, message: StoreReadEnded, context: &mut Self::Context) {
        let read = message.read;
        let event = match message.result {
            Ok((store_response, published)) => Event::StoreAnswered {
                read,
                era: message.era,
                records: Cow::Owned(store_response.records),
                revision: store_response.revision,
                is_behind: store_response.is_behind,
                next_page: store_response.next_page,
                published,
            },
            Err(failure) => Event::StoreFailed {
                read,
                failure,
                era: message.era,
            },
        };
        dispatch(self, context, event);
    }
}

/// Decodes store changes that the zone's reader has shared and passes them to the reducer; changes
/// that cannot be decoded are logged and dropped.
pub(crate) fn dispatch_shared_changes(
    shell: &mut Shell,
    context: &mut Context<Shell>,
    changes: &StoreChanges,
) {
    let read = StoreRead::Watch {
        area: changes.area,
        era: changes.era,
        after_revision: changes.after_revision,
        wait: Duration::ZERO,
    };
    let records = match changes.body.is_empty() {
        true => Vec::new(),
        false => match platform::decode_store_body(&read, &changes.body) {
            Ok(store_response) => store_response.records,
            Err(_) => {
                let line = LogLine::new(Level::Warn, "shared-changes-unreadable");
                logs::write(&line.with("revision", changes.revision));
                metrics::add(&mut shell.metrics, Counter::RefusedInputs, 1);
                return;
            }
        },
    };
    let event = Event::SharedStoreChanges {
        area: changes.area,
        era: changes.era,
        after_revision: changes.after_revision,
        revision: changes.revision,
        records: Cow::Owned(records),
    };
    dispatch(shell, context, event);
}
