//! Load reports of targets.

use serde::{Deserialize, Serialize};

use crate::Snapshot;

/// Lifecycle phase of a target as it reports it. The report may be outdated or wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetPhase {
    /// Serves at its full rate.
    #[default]
    Warm,
    /// In cold start: has just started and can serve only a low rate.
    Cold,
    /// Completes the calls in flight and accepts no new ones.
    Draining,
}

/// A target's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Identifier of the target's process; differs after a restart.
    pub incarnation: u64,
    /// Lifecycle phase.
    pub phase: TargetPhase,
    /// Calls that the target is executing.
    pub running_count: u32,
    /// Calls that are queued in the target.
    pub queued_count: u32,
    /// Concurrent calls that the target can serve in this phase, from all instances together.
    pub bearable_count: u32,
    /// Oldest snapshot that the target serves.
    pub oldest_snapshot: Snapshot,
    /// Newest snapshot that the target serves; it also serves all snapshots in between.
    pub newest_snapshot: Snapshot,
}
