//! Admission control: decides which queries start at once, which are queued, and which are refused.
//!
//! Invariants:
//! - the numbers of running and of queued queries never exceed the limits of the settings;
//! - a queued query of a higher priority starts before one of a lower priority, except that
//!   deferrable queries receive a minimum share of the starts;
//! - a query that was removed from the queue is never started.

mod admission;
mod front_queue;

pub use admission::{
    Admission, AdmissionDecision, Candidate, Dequeued, cancel_start, decide, dequeue, has_queue,
    record_completion, remove_queued, set_limit,
};
pub use front_queue::{FrontQueue, QueuedQuery, is_idle};
