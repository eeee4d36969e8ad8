//! The state of the fake platform and targets.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Instant,
};

use bytes::Bytes;
use model::TargetPhase;
use note::Note;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::{SecondaryMap, SlotMap};

use crate::{
    behaviour::{PlatformBehaviour, TargetBehaviour},
    event::{ConnectionKey, RequestKey, TargetKey},
    ledger::Ledger,
};

/// The reducer's state.
#[derive(Debug)]
pub struct State {
    /// Random number generator for execution times.
    pub rng: ChaCha8Rng,
    /// The platform.
    pub platform: Platform,
    /// Targets.
    pub targets: SlotMap<TargetKey, Target>,
    /// Targets by name.
    pub targets_by_name: BTreeMap<String, TargetKey>,
    /// Open connections to targets.
    pub connections: SecondaryMap<ConnectionKey, TargetKey>,
    /// Calls in flight: queued or being executed.
    pub calls: SecondaryMap<RequestKey, Call>,
    /// Executions of non-idempotent calls.
    pub ledger: Ledger,
}

/// The platform's configuration service.
#[derive(Debug, Default)]
pub struct Platform {
    /// Simulated latency, limits and faults.
    pub behaviour: PlatformBehaviour,
    /// Published configurations; the version of a value is its position, counted from 1.
    pub notes: Vec<Bytes>,
    /// The visible list of instances.
    pub instances: Bytes,
    /// Version of the visible list.
    pub instances_version: u64,
    /// Published lists that are not visible yet, oldest first.
    pub pending_instances: VecDeque<Bytes>,
    /// Open watches.
    pub watches: Vec<Watch>,
    /// Reads since the start, including refused and unanswered ones.
    pub reads_count: u64,
    /// Reads refused by the rate limit.
    pub limited_count: u64,
    /// Number of reads by reader, including refused and unanswered ones.
    pub readers: BTreeMap<String, u64>,
    /// Tokens in the rate limiter's bucket; each read takes one.
    pub tokens: f64,
    /// When the bucket was last refilled; absent before the first read.
    pub tokens_refilled_at: Option<Instant>,
}

/// An open watch on the configuration.
#[derive(Clone, Debug)]
pub struct Watch {
    /// Request to reply to.
    pub request: RequestKey,
    /// Name of the reader.
    pub reader: String,
    /// Version that the reader has.
    pub after_version: u64,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Simulated latency, limits and faults.
    pub behaviour: TargetBehaviour,
    /// Whether its process is running; false between a crash and the restart.
    pub is_up: bool,
    /// Actual phase, warm or cold; the reported one may differ.
    pub phase: TargetPhase,
    /// Number of its process; increases with each restart.
    pub incarnation: u64,
    /// Completed calls since the process started or its phase was last set.
    pub warm_up_calls_count: u32,
    /// Calls being executed.
    pub running: Vec<RequestKey>,
    /// Calls that wait for a slot.
    pub queue: VecDeque<RequestKey>,
    /// Counters since the start of the fake, kept across restarts.
    pub counts: TargetCounts,
}

/// Counters of a target since the start of the fake, kept across its restarts.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize)]
pub struct TargetCounts {
    /// Calls received.
    pub received_count: u64,
    /// Calls completed.
    pub done_count: u64,
    /// Calls shed.
    pub shed_count: u64,
    /// Calls cancelled.
    pub cancelled_count: u64,
    /// Calls received in cold start that exceeded `cold_bearable_count`.
    pub cold_excess_count: u64,
    /// Crashes.
    pub crashes_count: u64,
    /// Connections accepted.
    pub connections_opened_count: u64,
    /// Connections refused because the target was down or at its limit.
    pub connections_refused_count: u64,
    /// Largest number of connections open at the same time.
    pub connections_peak_count: u64,
}

/// A call in flight: queued or being executed.
#[derive(Clone, Debug)]
pub struct Call {
    /// The target.
    pub target: TargetKey,
    /// Identifier of the call.
    pub call_id: String,
    /// Identifier of the caller's request.
    pub request_id: String,
    /// Snapshot to read.
    pub snapshot: u64,
    /// Deadline; the call is not started after it.
    pub deadline: Option<Instant>,
    /// Whether the call may be executed more than once.
    pub is_idempotent: bool,
    /// The query.
    pub body: Bytes,
    /// Index in the ledger; absent until the execution starts, for idempotent calls, and once the
    /// ledger is full.
    pub ledger_index: Option<usize>,
}

/// Creates a state that publishes a note and simulates its targets, all of them warm.
pub fn new(note: &Note, document: String, seed: u64) -> State {
    let mut state = State {
        rng: ChaCha8Rng::seed_from_u64(seed),
        platform: Platform {
            notes: vec![document.into()],
            instances: Bytes::from_static(b"[]"),
            instances_version: 1,
            ..Platform::default()
        },
        targets: SlotMap::with_key(),
        targets_by_name: BTreeMap::new(),
        connections: SecondaryMap::new(),
        calls: SecondaryMap::new(),
        ledger: Ledger::default(),
    };
    add_targets(&mut state, note);
    state
}

/// Adds the targets of a note whose names are new and returns them.
pub fn add_targets(state: &mut State, note: &Note) -> Vec<TargetKey> {
    let mut added = Vec::new();
    for service in &note.fleet.services {
        for target in &service.targets {
            if state.targets_by_name.contains_key(&target.name) {
                continue;
            }
            let key = state.targets.insert(new_target(&service.name, target));
            state.targets_by_name.insert(target.name.clone(), key);
            added.push(key);
        }
    }
    added
}

fn new_target(service: &str, target: &note::Target) -> Target {
    Target {
        name: target.name.clone(),
        zone: target.zone.clone(),
        service: service.to_owned(),
        address: target.address,
        behaviour: TargetBehaviour {
            slots_count: target.slots_count,
            connections_max_count: target.connections_max_count,
            cold_bearable_count: target.cold_bearable_count,
            ..TargetBehaviour::default()
        },
        is_up: true,
        phase: TargetPhase::Warm,
        incarnation: 1,
        warm_up_calls_count: 0,
        running: Vec::new(),
        queue: VecDeque::new(),
        counts: TargetCounts::default(),
    }
}
