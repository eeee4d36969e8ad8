//! Holding outcomes for resends, within bounds.

use std::time::Instant;

use model::{Answer, Missing, MissingReason, WaitKey};

use crate::{OnceState, RowState, ticket};

/// Bytes of results that are held with all outcomes together.
pub const HELD_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Stores the outcome of a ticket's request; returns the resends that wait for it.
pub fn ended(
    once: &mut OnceState,
    settings: &settings::Once,
    text: &str,
    answer: &Answer,
) -> Vec<WaitKey> {
    let Some((ticket, _)) = ticket::decode(text) else {
        return Vec::new();
    };
    let Some(row) = once.rows.get_mut(&ticket.serial) else {
        return Vec::new();
    };
    let RowState::Running { waits } = &mut row.state else {
        return Vec::new();
    };
    let waits = std::mem::take(waits);
    hold(once, settings, ticket.serial, answer);
    waits
}

/// Stores the answer of a used ticket; its results only if there is room.
pub(crate) fn hold(once: &mut OnceState, settings: &settings::Once, serial: u64, answer: &Answer) {
    let Some(row) = once.rows.get_mut(&serial) else {
        return;
    };
    release(&mut once.held_bytes, &row.state);
    let mut answer = answer.clone();
    let bytes = result_bytes(&answer);
    if bytes > u64::from(settings.answer_max_bytes) || once.held_bytes + bytes > HELD_MAX_BYTES {
        drop_results(&mut answer);
    } else {
        once.held_bytes += bytes;
    }
    let answer = Box::new(answer);
    row.state = RowState::Ended { answer };
}

/// Forgets the outcomes whose retention period has passed.
pub(crate) fn forget_expired(once: &mut OnceState, settings: &settings::Once, now: Instant) {
    while let Some(first) = once.rows.first_entry() {
        let row = first.get();
        let age = now.saturating_duration_since(row.issued_at);
        let is_ended = matches!(row.state, RowState::Ended { .. });
        if !is_ended || age < 2 * settings.ticket_retention {
            return;
        }
        let row = first.remove();
        release(&mut once.held_bytes, &row.state);
    }
}

/// Forgets the outcome of the oldest ticket if as many are held as the settings allow.
///
/// Requests that still run are never forgotten; admission limits their number.
pub(crate) fn make_room(once: &mut OnceState, settings: &settings::Once) {
    while once.rows.len() >= settings.tickets_max_count as usize {
        let mut rows = once.rows.iter();
        let oldest = rows.find(|(_, row)| matches!(row.state, RowState::Ended { .. }));
        let Some((&serial, _)) = oldest else { return };
        if let Some(row) = once.rows.remove(&serial) {
            release(&mut once.held_bytes, &row.state);
        }
        once.forgotten_below = once.forgotten_below.max(serial + 1);
    }
}

fn release(held_bytes: &mut u64, state: &RowState) {
    if let RowState::Ended { answer } = state {
        *held_bytes = held_bytes.saturating_sub(result_bytes(answer));
    }
}

fn result_bytes(answer: &Answer) -> u64 {
    let bytes = answer.results.iter().map(|result| result.body.len() as u64);
    bytes.sum()
}

/// Keeps the outcome and states truly that the results are missing.
fn drop_results(answer: &mut Answer) {
    let missing = answer.results.drain(..).map(|result| Missing {
        service: result.service,
        reason: MissingReason::NotHeld,
    });
    answer.coverage.missing.extend(missing);
    answer.coverage.answered_count = 0;
}
