//! The state of the stand-ins.

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

/// Everything that the stand-ins know.
#[derive(Debug)]
pub struct State {
    /// Generator of latencies.
    pub rng: ChaCha8Rng,
    /// The platform.
    pub platform: Platform,
    /// Targets.
    pub targets: SlotMap<TargetKey, Target>,
    /// Targets by name.
    pub targets_by_name: BTreeMap<String, TargetKey>,
    /// Open connections to targets.
    pub connections: SecondaryMap<ConnectionKey, TargetKey>,
    /// Calls that wait or are being executed.
    pub calls: SecondaryMap<RequestKey, Call>,
    /// Executions of calls that must run at most once.
    pub ledger: Ledger,
}

/// The platform's configuration service.
#[derive(Debug, Default)]
pub struct Platform {
    /// How it behaves.
    pub behaviour: PlatformBehaviour,
    /// Published configurations; the version of a value is its position, counted from 1.
    pub notes: Vec<Bytes>,
    /// The visible list of instances.
    pub instances: Bytes,
    /// Version of the visible list.
    pub instances_version: u64,
    /// Lists that wait for the lag.
    pub pending_instances: VecDeque<Bytes>,
    /// Readers that wait for a newer configuration.
    pub watches: Vec<Watch>,
    /// Reads since the start, refused ones included.
    pub reads_count: u64,
    /// Reads refused because of the rate limit.
    pub limited_count: u64,
    /// Reads by reader.
    pub readers: BTreeMap<String, u64>,
    /// Reads that the rate limit tokens at present.
    pub tokens: f64,
    /// When the tokens were last renewed.
    pub tokens_refilled_at: Option<Instant>,
}

/// A reader that waits for a newer configuration.
#[derive(Clone, Debug)]
pub struct Watch {
    /// Where the reply goes.
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
    /// Address of its port.
    pub address: SocketAddr,
    /// How it behaves.
    pub behaviour: TargetBehaviour,
    /// Whether its process runs.
    pub is_up: bool,
    /// True phase of its life: warm or cold.
    pub phase: TargetPhase,
    /// Identifier of its process.
    pub incarnation: u64,
    /// Calls executed to their end since the start of the process.
    pub warm_up_calls_count: u32,
    /// Calls being executed.
    pub running: Vec<RequestKey>,
    /// Calls that wait for a slot.
    pub queue: VecDeque<RequestKey>,
    /// What has happened since the start of the stand-ins.
    pub counts: TargetCounts,
}

/// What has happened to a target since the start of the stand-ins.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize)]
pub struct TargetCounts {
    /// Calls received.
    pub received_count: u64,
    /// Calls executed to their end.
    pub done_count: u64,
    /// Calls shed.
    pub shed_count: u64,
    /// Calls cancelled.
    pub cancelled_count: u64,
    /// Calls received in cold start above the load that it bears.
    pub cold_excess_count: u64,
    /// Crashes.
    pub crashes_count: u64,
    /// Connections accepted.
    pub connections_opened_count: u64,
    /// Connections refused because of the limit.
    pub connections_refused_count: u64,
    /// Most connections open at the same time.
    pub connections_peak_count: u64,
}

/// A call that waits or is being executed.
#[derive(Clone, Debug)]
pub struct Call {
    /// The target.
    pub target: TargetKey,
    /// Number of the call.
    pub call_id: String,
    /// Identifier of the caller's request.
    pub request_id: String,
    /// Snapshot that is read.
    pub snapshot: u64,
    /// When the result is no longer wanted.
    pub deadline: Option<Instant>,
    /// Whether the target may see the call more than once.
    pub is_idempotent: bool,
    /// The query.
    pub body: Bytes,
    /// Entry in the ledger, once execution has begun.
    pub ledger_index: Option<usize>,
}

/// Returns the state that publishes a note and plays its targets.
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

/// Adds the targets of a note that are not known yet and returns them.
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
