//! Execution at most once: the outcome of requests, and tickets.
//!
//! Invariants:
//! - [`outcome`] is the only place that decides whether a request ran;
//! - "not run" is said only if no byte of any call may have reached a target, or every target that
//!   a call may have reached vouches that it did not and will not execute it.

mod evidence;

pub use evidence::{Evidence, outcome};
