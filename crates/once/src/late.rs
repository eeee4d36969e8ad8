//! Calls that are still in flight after their request has been answered.

use std::{sync::Arc, time::Instant};

use model::{Answer, CallKey, Outcome};
use serde::Serialize;

use crate::{OnceState, TicketState, outcomes::store_answer, ticket};

/// Upper bound of the tracked calls; beyond it the call with the smallest key is untracked.
const LATE_CALLS_MAX_COUNT: usize = 4096;

/// A call in flight whose request has already been answered.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct LateCall {
    /// Fingerprint of the call.
    pub fingerprint: u64,
    /// The service that was called.
    pub service: Arc<str>,
    /// Ticket of the request; `None` for an idempotent request.
    pub ticket: Option<String>,
    /// When the call was sent.
    #[serde(skip)]
    pub sent_at: Instant,
}

/// Tracks a call whose end may still resolve an unknown outcome or add or clear strikes.
pub fn track_late_call(once: &mut OnceState, call: CallKey, late: LateCall) {
    if once.late_calls.len() >= LATE_CALLS_MAX_COUNT {
        once.late_calls.pop_first();
    }
    once.late_calls.insert(call, late);
}

/// Stops tracking a call that has ended and returns it.
pub fn take_late_call(once: &mut OnceState, call: CallKey) -> Option<LateCall> {
    once.late_calls.remove(&call)
}

/// Replaces the stored answer of a ticket if its outcome is unknown; other outcomes are final.
pub fn replace_unknown_outcome(
    once: &mut OnceState,
    settings: &settings::Once,
    encoded_ticket: &str,
    answer: &Answer,
) {
    let Some((ticket, _)) = ticket::decode(encoded_ticket) else {
        return;
    };
    let Some(entry) = once.tickets.get(&ticket.serial) else {
        return;
    };
    let TicketState::Ended { answer: stored } = &entry.state else {
        return;
    };
    if matches!(stored.outcome, Outcome::Unknown(_)) {
        store_answer(once, settings, ticket.serial, answer);
    }
}
