//! Admission control: decides which queries start at once, which are queued, and which are refused.
//!
//! Invariants:
//! - a query starts only while its front runs fewer queries than its concurrency limit, or than
//!   twice that limit if the query is urgent and was not queued;
//! - the queued queries of all fronts together never exceed the limit of the settings;
//! - of the queued queries of a front, one of a higher priority starts first, except that
//!   deferrable queries receive a minimum share of the starts;
//! - a query that was removed from the queue is never started.

mod admission;
mod front_queue;

pub use admission::{
    Admission, AdmissionDecision, Candidate, Dequeued, cancel_start, decide, dequeue, has_queue,
    record_completion, remove_queued, set_limit,
};
pub use front_queue::{FrontQueue, QueuedQuery, is_idle};
