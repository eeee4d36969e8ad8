//! The accepted configuration, how it reaches this instance, and the other instances.
//!
//! Invariants:
//! - the accepted revision never goes down;
//! - a published value that has a finding changes nothing but the findings that operators see.

mod accept;
mod table;

pub use accept::{note_published, platform_failed, started};
pub use table::FleetState;
