//! At-most-once execution: request outcomes, tickets, and the quarantine of crashing requests.
//!
//! Invariants:
//! - [`outcome`] is the only place that decides whether a request ran;
//! - "not run" is reported only if no byte of any call can have reached a target, or every target
//!   that a call may have reached confirms that it did not and will not execute it;
//! - only the process that issued a ticket runs the ticket's request, and runs it once;
//! - the first use redeems a ticket, so a refusal under a ticket is as final as a run;
//! - a ticket that may have been redeemed and whose entry was removed is never run again.

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
pub use fingerprint::{body_hash, fingerprint, fingerprint_with};
pub use late::{LateCall, corrected, expect_late, take_late};
pub use outcomes::{HELD_MAX_BYTES, ended};
pub use quarantine::{
    QuarantineEntry, exonerate, is_quarantined, merge_quarantine, quarantine_row, quarantine_rows,
    quarantine_sent, strike,
};
pub use redeem::{Verdict, issue, offer, wait};
pub use state::{OnceState, TicketEntry, TicketState, Wait, new_state};
pub use ticket::{MacKey, Owner, Ticket};
