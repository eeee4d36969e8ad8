//! The reducer of an instance: one function that applies an event to the state and returns effects.
//!
//! [`reduce`] dispatches events. The area crates (`fleet`, `route`, `query`, `admit`, `once`,
//! `gateway`) own their part of the state and the functions on it; the modules of this crate
//! combine them.
//!
//! Invariants:
//! - the reducer does no I/O and reads no clock; random numbers come from a seeded generator in the
//!   state, so the same events at the same times yield the same effects;
//! - every request event eventually yields exactly one answer effect.

mod capacity;
mod completion;
mod dump;
mod forward;
mod gateway;
mod late_call;
mod observations;
mod peer;
mod platform;
mod quarantine;
mod quota;
mod reduce;
mod reload;
mod request;
mod shutdown;
mod state;
mod status;
mod store_era;
mod strikes;
mod tick;
mod ticket;

#[cfg(test)]
mod tests;

pub use dump::{Dump, dump};
pub use reduce::reduce;
pub use state::{State, is_draining_callers, is_ready, new_state, revision};
pub use status::{Status, status};
