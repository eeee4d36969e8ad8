//! Messages that bring the gateway's events to the actor: callers' requests, the ends of attempts,
//! and what the store or the reader of the zone says.

use std::{
    borrow::Cow,
    sync::{Arc, OnceLock},
    time::Duration,
};

use actix::{Context, Handler, Message};
use bytes::Bytes;
use model::{
    AttemptKey, AttemptReply, CallFailure, CallerKey, Event, HttpRequest, HttpResponse, Level,
    LogLine, StoreChanges, StoreFailure, StoreRead, TargetKey,
};
use platform::{Reply, StoreValue};
use tokio::sync::oneshot;

use crate::{
    attempts,
    shell::{CallerReply, Shell, handle},
};

/// A request of a caller of the gateway.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct HttpArrived {
    /// The request.
    pub request: Arc<HttpRequest>,
    /// Where the response goes.
    pub reply: oneshot::Sender<HttpResponse>,
    /// Receives the key of the caller, for the report that it has gone.
    pub key: Arc<OnceLock<CallerKey>>,
}

impl Handler<HttpArrived> for Shell {
    type Result = ();

    fn handle(&mut self, message: HttpArrived, context: &mut Self::Context) {
        let caller = self.callers.insert(CallerReply::Http(message.reply));
        // The cell belongs to this message alone, so it is empty.
        let _ = message.key.set(caller);
        let request = message.request;
        handle(self, context, Event::HttpRequest { caller, request });
    }
}

/// The end of an attempt.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct AttemptEnded {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Its target.
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
        let carrier = self.attempts.remove(attempt);
        if let Some(carrier) = carrier
            && message.is_reusable
        {
            attempts::keep(&mut self.idle, message.target, carrier);
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
                    load: reply.load,
                },
            },
            &Err(failure) => Event::AttemptFailed { attempt, failure },
        };
        handle(self, context, event);
    }
}

/// The end of a read of the store.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct StoreReadEnded {
    /// The read.
    pub read: StoreRead,
    /// The value or the failure.
    pub result: Result<(StoreValue, Bytes), StoreFailure>,
}

impl Handler<StoreReadEnded> for Shell {
    type Result = ();

    fn handle(&mut self, message: StoreReadEnded, context: &mut Self::Context) {
        let read = message.read;
        let event = match message.result {
            Ok((value, published)) => Event::StoreAnswered {
                read,
                records: Cow::Owned(value.records),
                revision: value.revision,
                is_behind: value.is_behind,
                next_page: value.next_page,
                published,
            },
            Err(failure) => Event::StoreFailed { read, failure },
        };
        handle(self, context, event);
    }
}

/// Decodes what the reader of the zone has learned from the store.
pub(crate) fn store_shared(
    shell: &mut Shell,
    context: &mut Context<Shell>,
    changes: &StoreChanges,
) {
    let read = StoreRead::Watch {
        area: changes.area,
        after_revision: changes.after_revision,
        wait: Duration::ZERO,
    };
    let records = match changes.body.is_empty() {
        true => Vec::new(),
        false => match platform::decode_published(&read, &changes.body) {
            Ok(value) => value.records,
            Err(_) => {
                let line = LogLine::new(Level::Warn, "shared-changes-unreadable");
                logs::write(&line.with("revision", changes.revision));
                return;
            }
        },
    };
    let event = Event::StoreShared {
        area: changes.area,
        after_revision: changes.after_revision,
        revision: changes.revision,
        records: Cow::Owned(records),
    };
    handle(shell, context, event);
}
