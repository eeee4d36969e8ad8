//! Execution at most once: the outcome of requests, tickets, and quarantine.
//!
//! Invariants:
//! - [`outcome`] is the only place that decides whether a request ran;
//! - "not run" is said only if no byte of any call may have reached a target, or every target that
//!   a call may have reached vouches that it did not and will not execute it;
//! - only the run of the instance that issued a ticket runs its request, and it does so once;
//! - a ticket is spent by its first use, so a refusal under a ticket is as final as a run;
//! - a ticket whose use may have been forgotten is never run again.

mod evidence;
mod fingerprint;
mod hold;
mod late;
mod offer;
mod quarantine;
mod table;
mod ticket;

#[cfg(test)]
mod tests;

pub use evidence::{Evidence, outcome};
pub use fingerprint::{body_hash, fingerprint, fingerprint_with};
pub use hold::{HELD_MAX_BYTES, ended};
pub use late::{LateCall, corrected, expect_late, take_late};
pub use offer::{Verdict, issue, offer, wait};
pub use quarantine::{
    Suspect, exonerate, is_quarantined, merge_quarantine, quarantine_row, quarantine_rows,
    quarantine_sent, strike,
};
pub use table::{OnceState, Row, RowState, Wait, open};
pub use ticket::{Owner, SealKey, Ticket};
