//! The state of the stand-ins.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use model::{LoadReport, TargetPhase};
use note::Note;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SecondaryMap;

use crate::event::RequestKey;

/// Everything that the stand-ins know.
#[derive(Debug)]
pub struct State {
    /// Generator of latencies.
    pub rng: ChaCha8Rng,
    /// Version of the published value.
    pub version: u64,
    /// The published value.
    pub value: Bytes,
    /// Readers that wait for a newer value.
    pub watches: Vec<RequestKey>,
    /// Targets by name.
    pub targets: BTreeMap<String, Target>,
    /// Calls that are being executed.
    pub calls: SecondaryMap<RequestKey, Call>,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Shortest execution time.
    pub latency: Duration,
    /// Calls being executed.
    pub running_count: u32,
    /// Snapshot served.
    pub snapshot: u64,
    /// Identifier of the target's process.
    pub incarnation: u64,
}

/// A call that is being executed.
#[derive(Clone, Debug)]
pub struct Call {
    /// Name of the target.
    pub target: String,
    /// The query.
    pub body: Bytes,
}

/// Execution time of a target that nobody has steered.
const DEFAULT_LATENCY: Duration = Duration::from_millis(3);

/// Returns the state that publishes a note and plays its targets.
pub fn open(note: &Note, document: String, seed: u64) -> State {
    let targets = note
        .fleet
        .services
        .iter()
        .flat_map(|service| &service.targets);
    let targets = targets.map(|target| (target.name.clone(), new_target()));
    State {
        rng: ChaCha8Rng::seed_from_u64(seed),
        version: 1,
        value: document.into(),
        watches: Vec::new(),
        targets: targets.collect(),
        calls: SecondaryMap::new(),
    }
}

fn new_target() -> Target {
    Target {
        latency: DEFAULT_LATENCY,
        running_count: 0,
        snapshot: 1,
        incarnation: 1,
    }
}

/// Returns a target's load report.
pub fn load_report(target: &Target) -> LoadReport {
    LoadReport {
        incarnation: target.incarnation,
        phase: TargetPhase::Warm,
        running_count: target.running_count,
        queued_count: 0,
        bearable_count: u32::MAX,
        oldest_snapshot: target.snapshot,
        newest_snapshot: target.snapshot,
    }
}
