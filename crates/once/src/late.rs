//! Calls that are still in flight when their request has been answered.

use std::{sync::Arc, time::Instant};

use model::{Answer, CallKey, Outcome};
use serde::Serialize;

use crate::{OnceState, RowState, hold::hold, ticket};

/// Calls that are remembered at the same time.
const LATE_CALLS_MAX_COUNT: usize = 4096;

/// A call whose request has been answered already.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct LateCall {
    /// Fingerprint of the call.
    pub fingerprint: u64,
    /// The service that was called.
    pub service: Arc<str>,
    /// Ticket of a request that runs once.
    pub ticket: Option<String>,
    /// When it was sent.
    #[serde(skip)]
    pub sent_at: Instant,
}

/// Remembers a call whose end may still tell something.
pub fn expect_late(once: &mut OnceState, call: CallKey, late: LateCall) {
    if once.late_calls.len() >= LATE_CALLS_MAX_COUNT {
        once.late_calls.pop_first();
    }
    once.late_calls.insert(call, late);
}

/// Takes a call that ended after its request's answer.
pub fn take_late(once: &mut OnceState, call: CallKey) -> Option<LateCall> {
    once.late_calls.remove(&call)
}

/// Replaces a stored outcome in doubt by what the target has said since.
pub fn corrected(once: &mut OnceState, settings: &settings::Once, text: &str, answer: &Answer) {
    let Some((ticket, _)) = ticket::decode(text) else {
        return;
    };
    let Some(row) = once.rows.get(&ticket.serial) else {
        return;
    };
    let RowState::Ended { answer: held } = &row.state else {
        return;
    };
    if matches!(held.outcome, Outcome::Unknown(_)) {
        hold(once, settings, ticket.serial, answer);
    }
}
