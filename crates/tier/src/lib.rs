//! The reducer of an instance: one function from state and event to new state and effects.
//!
//! [`reduce`] only dispatches; each area crate holds its part of the state and the functions over
//! it.
//!
//! Invariants:
//! - the reducer does no I/O and reads no clock; random numbers come from a seeded generator in the
//!   state, so the same events at the same times yield the same effects;
//! - every request event yields exactly one answer effect, sooner or later.

mod capacity;
mod dump;
mod forward;
mod gateway;
mod late;
mod leave;
mod peer;
mod platform;
mod poison;
mod reduce;
mod reload;
mod request;
mod settle;
mod state;
mod status;
mod tick;
mod ticket;

#[cfg(test)]
mod tests;

pub use dump::{Dump, dump};
pub use reduce::reduce;
pub use state::{State, is_ready, open, revision, turns_callers_away};
pub use status::{Status, status};
