//! Bounded storage of outcomes, from which resends are answered.

use std::time::Instant;

use model::{Answer, Missing, MissingReason, WaitKey};

use crate::{OnceState, TicketState, ticket};

/// Upper bound of [`OnceState::held_bytes`].
pub const HELD_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Stores the outcome of a ticket's request and returns the requesters that wait for it.
pub fn store_outcome(
    once: &mut OnceState,
    settings: &settings::Once,
    encoded_ticket: &str,
    answer: &Answer,
) -> Vec<WaitKey> {
    let Some((ticket, _)) = ticket::decode(encoded_ticket) else {
        return Vec::new();
    };
    let Some(entry) = once.tickets.get_mut(&ticket.serial) else {
        return Vec::new();
    };
    let TicketState::Running { waiters } = &mut entry.state else {
        return Vec::new();
    };
    let waiters = std::mem::take(waiters);
    store_answer(once, settings, ticket.serial, answer);
    waiters
}

/// Stores the answer of a redeemed ticket, without its results if they exceed a size limit.
pub(crate) fn store_answer(
    once: &mut OnceState,
    settings: &settings::Once,
    serial: u64,
    answer: &Answer,
) {
    let Some(entry) = once.tickets.get_mut(&serial) else {
        return;
    };
    release_bytes(&mut once.held_bytes, &entry.state);
    let mut answer = answer.clone();
    let bytes = result_bytes(&answer);
    if bytes > u64::from(settings.answer_max_bytes) || once.held_bytes + bytes > HELD_MAX_BYTES {
        drop_results(&mut answer);
    } else {
        once.held_bytes += bytes;
    }
    let answer = Box::new(answer);
    entry.state = TicketState::Ended { answer };
}

/// Removes ended entries, oldest ticket first, up to the first one that is still running or was
/// issued less than two retention periods ago.
///
/// A ticket can be redeemed only during the first of the two periods.
pub(crate) fn remove_expired(once: &mut OnceState, settings: &settings::Once, now: Instant) {
    while let Some(first) = once.tickets.first_entry() {
        let entry = first.get();
        let age = now.saturating_duration_since(entry.issued_at);
        let is_ended = matches!(entry.state, TicketState::Ended { .. });
        if !is_ended || age < 2 * settings.ticket_retention {
            return;
        }
        let entry = first.remove();
        release_bytes(&mut once.held_bytes, &entry.state);
    }
}

/// Evicts the ended entries with the lowest serials until a new entry fits the settings' limit.
///
/// Entries of running requests are never evicted; admission limits their number.
pub(crate) fn evict_oldest(once: &mut OnceState, settings: &settings::Once) {
    while once.tickets.len() >= settings.tickets_max_count as usize {
        let mut entries = once.tickets.iter();
        let oldest = entries.find(|(_, entry)| matches!(entry.state, TicketState::Ended { .. }));
        let Some((&serial, _)) = oldest else { return };
        if let Some(entry) = once.tickets.remove(&serial) {
            release_bytes(&mut once.held_bytes, &entry.state);
        }
        once.forgotten_below = once.forgotten_below.max(serial + 1);
    }
}

fn release_bytes(held_bytes: &mut u64, state: &TicketState) {
    if let TicketState::Ended { answer } = state {
        *held_bytes = held_bytes.saturating_sub(result_bytes(answer));
    }
}

fn result_bytes(answer: &Answer) -> u64 {
    let bytes = answer.results.iter().map(|result| result.body.len() as u64);
    bytes.sum()
}

/// Removes the results from an answer and lists their services as missing.
fn drop_results(answer: &mut Answer) {
    let missing = answer.results.drain(..).map(|result| Missing {
        service: result.service,
        reason: MissingReason::NotHeld,
    });
    answer.coverage.missing.extend(missing);
    answer.coverage.answered_count = 0;
}
