//! The release note: the configuration that operators publish through the platform.
//!
//! A note is self-contained: it states its revision, what it adds, changes and withdraws, and the
//! whole resulting fleet.
//!
//! Invariants:
//! - a [`Note`] that was read is consistent: every reference resolves and every name is unique;
//! - a faulty note yields every finding at once and no [`Note`].

mod check;
mod compose;
mod difference;
mod fleet;
mod item_path;
mod read;

#[cfg(test)]
mod tests;

pub use check::check;
pub use compose::{Change, compose};
pub use difference::{Difference, check_difference, diff};
pub use fleet::{
    Fleet, Front, Note, Requests, Service, ShardMap, Target, TargetState, Zone, ZoneState,
};
pub use read::{read, read_change};
