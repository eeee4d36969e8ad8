//! What a target says about itself.

use serde::{Deserialize, Serialize};

use crate::Snapshot;

/// Phase of a target's life as the target reports it. The report may lag or mislead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetPhase {
    /// Serves at full rate.
    #[default]
    Warm,
    /// Has started and bears only a small load.
    Cold,
    /// Finishes its calls and takes no new ones.
    Draining,
}

/// A target's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Identifier of the target's process; differs after a restart.
    pub incarnation: u64,
    /// Phase of life.
    pub phase: TargetPhase,
    /// Calls that the target is executing.
    pub running_count: u32,
    /// Calls that wait in the target.
    pub queued_count: u32,
    /// Concurrent calls that the target bears in its present phase, from all instances together.
    pub bearable_count: u32,
    /// Oldest snapshot that the target serves.
    pub oldest_snapshot: Snapshot,
    /// Newest snapshot that the target serves. Every snapshot between the two is served.
    pub newest_snapshot: Snapshot,
}
