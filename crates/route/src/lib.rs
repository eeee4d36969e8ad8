//! The choice of a target for each call, from what this instance knows about every target.
//!
//! Invariants:
//! - a target whose zone is out, that is leaving, or that is not part of the accepted configuration
//!   is never chosen;
//! - calls in flight to a target, cancelled ones included, never exceed this instance's share of its
//!   connections; the shares of all ranks add up to at most the target's limit;
//! - calls in flight to a cold target never exceed this instance's part of the load that it bears,
//!   until calls that succeed in time have earned more;
//! - what the instance observed itself outranks what the target reports.

mod apply;
mod choose;
mod confine;
mod latency;
mod observe;
mod reach;
mod share;
mod snapshot;
mod table;
mod tick;
mod warmth;

#[cfg(test)]
mod tests;

pub use apply::apply;
pub use choose::{NoChoice, Want, choose, has_free_slot, is_overfull, running_limit, way_there};
pub use confine::confine;
pub use latency::Latency;
pub use observe::{
    CallEnd, CallReport, call_ended, call_late, call_outrun, call_started, check_silence,
    is_late_for_its_place, load_reported, paused, probe_answered, probe_failed, serves_only,
};
pub use reach::{Reach, is_every_target_asked};
pub use share::{Division, GROWTH_DELAY, Offsets, part, set_instances};
pub use snapshot::{Cover, best_snapshot};
pub use table::{Front, Limits, Routes, Service, ShardMap, Target, Zone};
pub use tick::tick;
pub use warmth::Warmth;
