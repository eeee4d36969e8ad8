//! Release notes: the configurations that operators publish through the platform.
//!
//! A note is self-contained: it contains its revision, the paths that it adds, changes and
//! withdraws, and the complete resulting fleet.
//!
//! Invariants:
//! - a [`Note`] returned by [`read()`] is consistent: references resolve and names are unique;
//! - an invalid note yields all its findings at once and no [`Note`].

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
    AcceptedRequests, Fleet, Front, Note, Service, ShardMap, Target, TargetState, Zone, ZoneState,
};
pub use read::{read, read_change};
