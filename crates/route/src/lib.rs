//! Routing table and target selection, based on what this instance knows about every target.
//!
//! Invariants:
//! - a target is never selected if its zone is out, if it is leaving, or if it is not part of the
//!   accepted configuration;
//! - a new call never raises the calls in flight to a target, cancelled ones included, above this
//!   instance's share of its connections; the shares of all ranks add up to at most the target's
//!   limit;
//! - a new call never raises the calls in flight to a cold target above its ramp limit, which is
//!   this instance's share of the cold-start limit plus its earned calls;
//! - whether a target is cold follows the more cautious of its reports and this instance's own
//!   observations.

mod apply;
mod cold_start;
mod confine;
mod latency;
mod observe;
mod reachability;
mod select;
mod share;
mod snapshot;
mod table;
mod tick;

#[cfg(test)]
mod tests;

pub use apply::apply;
pub use cold_start::ColdStart;
pub use confine::confine;
pub use latency::Latency;
pub use observe::{
    CallEnd, CallReport, check_responsiveness, is_late_for_queue_depth, on_pause, record_call_end,
    record_call_sent, record_cancelled_late_call, record_late_call, record_load_report,
    record_probe_failure, record_probe_reply, record_served_snapshot,
};
pub use reachability::{Reachability, has_probed_every_target};
pub use select::{
    Criteria, SelectError, has_spare_capacity, is_above_ramp_limit, one_way_delay,
    query_concurrency_limit, select_target,
};
pub use share::{Division, GROWTH_DELAY, RemainderOffsets, rank_share, set_instances};
pub use snapshot::{SnapshotCoverage, best_snapshot};
pub use table::{Front, RouteSettings, Routes, Service, ShardMap, Target, Zone};
pub use tick::tick;
