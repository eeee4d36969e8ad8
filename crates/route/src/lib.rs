//! The choice of a target for each call, from what this instance knows about every target.
//!
//! Invariants:
//! - a target whose zone is out, that is leaving, or that is not part of the accepted configuration
//!   is never chosen;
//! - calls in flight to a target never exceed this instance's share of its connections;
//! - what the instance observed itself outranks what the target reports.

mod apply;
mod choose;
mod observe;
mod table;

pub use apply::apply;
pub use choose::{Want, choose, newest_snapshot};
pub use observe::{CallEnd, call_ended, call_started, load_reported, probe_failed};
pub use table::{Front, Routes, Service, ShardMap, Target, Zone};
