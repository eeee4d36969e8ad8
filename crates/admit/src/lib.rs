//! Admission: which queries start at once, which wait, and which are refused.
//!
//! Invariants:
//! - running and waiting queries never exceed the limits of the settings;
//! - a waiting query of a higher priority starts before one of a lower priority, except that
//!   deferrable queries receive a minimum share;
//! - a query that left the queue is never started.

mod lane;
mod queue;

pub use lane::{Lane, Waiting, is_idle};
pub use queue::{
    Admission, Candidate, Next, Verdict, finished, has_queue, next, not_started, offer, set_limit,
    withdrawn,
};
