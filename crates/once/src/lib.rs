//! At-most-once execution: request outcomes, tickets, and the quarantine of crashing requests.
//!
//! Invariants:
//! - only [`outcome`] derives the outcome of a request from the results of its calls;
//! - "not run" is reported only if no byte of any call can have reached a target, or every target
//!   that a call may have reached confirms that it did not and will not execute it;
//! - only the process that issued a ticket runs the ticket's request, and runs it once;
//! - the first use redeems a ticket, so a refusal under a ticket is as final as a run;
//! - a request whose ticket may have been redeemed and has no entry any more is not run.

mod evidence;
mod fingerprint;
mod late;
mod outcomes;
mod quarantine;
mod redeem;
mod state;
mod ticket;

#[cfg(test)]
mod tests;

pub use evidence::{Evidence, outcome};
pub use fingerprint::{body_hash, fingerprint, fingerprint_of_hashed};
pub use late::{LateCall, replace_unknown_outcome, take_late_call, track_late_call};
pub use outcomes::{HELD_MAX_BYTES, store_outcome};
pub use quarantine::{
    ObservedStrike, QuarantineEntry, Strike, add_strike, clear_strikes, confirm_quarantines,
    is_quarantined, mark_quarantine_announced, mark_quarantine_sent, merge_quarantine,
    quarantine_update, quarantine_updates, record_execution, strikes_count, struck_services_count,
};
pub use redeem::{TicketDecision, add_waiter, issue, redeem};
pub use state::{Forward, OnceState, TicketEntry, TicketState, Waiter, new_state, remove_waiter};
pub use ticket::{MacKey, Owner, Ticket};
