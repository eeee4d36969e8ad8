//! The state of the simulation.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use model::{CallKey, CallerKey, Priority, Snapshot, TargetKey};
use note::Note;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::{Key, KeyData, SecondaryMap};

use crate::{
    case::Case,
    event::{PolicyEvent, TargetIndex},
    fleet::{self, INITIAL_SNAPSHOT},
    stats::Stats,
};

/// The state of everything but the policy under test: callers, network, platform and targets.
#[derive(Debug)]
pub struct Simulation {
    /// The parameters of the simulation.
    pub case: Case,
    /// Random generator of arrival times and priorities only, so that every policy gets the same
    /// requests.
    pub arrivals_rng: ChaCha8Rng,
    /// Random generator of execution times, stragglers and times of snapshot switches.
    pub rng: ChaCha8Rng,
    /// Whether the case's stragglers occur.
    pub has_stragglers: bool,
    /// Mean rate of requests.
    pub arrivals_per_second: f64,
    /// Requests that have arrived; the number of the next one.
    pub requests_count: u64,
    /// Requests that have not been answered, by number.
    pub pending_requests: HashMap<u64, PendingRequest>,
    /// Calls in flight: sent by the policy and neither replied to nor failed.
    pub calls: SecondaryMap<CallKey, Call>,
    /// All targets of all services.
    pub targets: Vec<Target>,
    /// Indices of targets by the keys that the policy assigned.
    pub target_indices: SecondaryMap<TargetKey, TargetIndex>,
    /// Names of the services.
    pub services: Vec<Arc<str>>,
    /// The release note in force.
    pub note: Note,
    /// Counters and latencies of the run.
    pub stats: Stats,
}

/// A request that has not been answered.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// Simulated time of arrival.
    pub arrived_at: Duration,
    /// Priority of the request.
    pub priority: Priority,
    /// Number of calls made for the request, by index of the service.
    pub calls_count_by_service: Vec<u8>,
}

/// A call in flight.
#[derive(Clone, Debug)]
pub struct Call {
    /// The target that was called.
    pub target: TargetIndex,
    /// Number of the request.
    pub request_number: u64,
    /// Snapshot to read; `None` reads the newest one.
    pub snapshot: Option<Snapshot>,
    /// Simulated time from which the target no longer starts the call.
    pub deadline: Duration,
    /// Whether the target is executing the call.
    pub is_running: bool,
}

/// The state of a simulated target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name in the release note.
    pub name: String,
    /// Index of the service.
    pub service: usize,
    /// One-way network delay between the instance and the target.
    pub one_way_delay: Duration,
    /// Time to open a connection.
    pub connect_time: Duration,
    /// Calls that the target executes concurrently.
    pub slots_count: u32,
    /// Connections that the target accepts.
    pub connections_max_count: u32,
    /// Concurrent calls that the target can handle in cold start, from all instances together.
    pub cold_bearable_count: u32,
    /// Open connections from the instance.
    pub connections_open_count: u32,
    /// Connections that carry a call in flight.
    pub connections_busy_count: u32,
    /// Calls that are executing.
    pub running: Vec<CallKey>,
    /// Calls that wait for a free slot.
    pub queue: VecDeque<CallKey>,
    /// Identifier of the target's process; incremented by a restart.
    pub incarnation: u64,
    /// Whether the target has crashed and not restarted.
    pub is_crashed: bool,
    /// Whether the target accepts calls but never replies.
    pub is_hung: bool,
    /// Beginning of the last cold start, if any; the case gives its duration.
    pub cold_since: Option<Duration>,
    /// Newest snapshot that the target serves.
    pub newest_snapshot: Snapshot,
}

/// Returns the initial state of a case's simulation.
pub fn new(case: &Case, seed: u64, has_stragglers: bool) -> Simulation {
    let note = fleet::initial_note(case);
    let services: Vec<Arc<str>> = note
        .fleet
        .services
        .iter()
        .map(|service| service.name.as_str().into())
        .collect();
    let mut targets = Vec::new();
    for (position, (group, _)) in fleet::services(case).enumerate() {
        for published in &note.fleet.services[position].targets {
            let is_same_zone = published.zone == case.zones[0];
            targets.push(Target {
                name: published.name.clone(),
                service: position,
                one_way_delay: if is_same_zone {
                    case.one_way_delay_same_zone
                } else {
                    case.one_way_delay_other_zone
                },
                connect_time: group.connect_time,
                slots_count: group.slots_count,
                connections_max_count: group.connections_max_count,
                cold_bearable_count: group.cold_bearable_count,
                connections_open_count: 0,
                connections_busy_count: 0,
                running: Vec::new(),
                queue: VecDeque::new(),
                incarnation: 1,
                is_crashed: false,
                is_hung: false,
                cold_since: None,
                newest_snapshot: INITIAL_SNAPSHOT,
            });
        }
    }
    Simulation {
        arrivals_rng: ChaCha8Rng::seed_from_u64(seed),
        rng: ChaCha8Rng::seed_from_u64(seed ^ u64::MAX),
        has_stragglers,
        arrivals_per_second: case.load_ratio * fleet::capacity_per_second(case),
        requests_count: 0,
        pending_requests: HashMap::new(),
        calls: SecondaryMap::new(),
        targets,
        target_indices: SecondaryMap::new(),
        services,
        note,
        stats: Stats::default(),
        case: case.clone(),
    }
}

/// Returns the delivery of the release note in force by the platform.
pub fn note_event(sim: &Simulation) -> PolicyEvent {
    let document = serde_json::to_vec(&sim.note);
    PolicyEvent::Note {
        version: sim.note.revision,
        body: document.expect("a note can be encoded").into(),
    }
}

/// Returns the delivery of the list of the other instances by the platform.
pub fn instances_event(sim: &Simulation) -> PolicyEvent {
    let others = (1..sim.case.instances_count).map(|number| {
        serde_json::json!({
            "name": format!("other-{number}"), "zone": sim.case.zones[0],
            "peers": format!("127.0.0.1:{number}"), "state": "live",
        })
    });
    let document = serde_json::Value::from(others.collect::<Vec<_>>());
    PolicyEvent::Instances {
        body: document.to_string().into(),
    }
}

/// Returns the key by which the policy identifies a request's caller.
pub fn caller_key(number: u64) -> CallerKey {
    KeyData::from_ffi(number | OCCUPIED_VERSION).into()
}

/// Returns the number of the request whose caller has this key.
pub fn request_number(key: CallerKey) -> u64 {
    key.data().as_ffi() & !OCCUPIED_VERSION
}

/// Version 1 in the upper half of a slotmap key; an odd version marks an occupied slot.
const OCCUPIED_VERSION: u64 = 1 << 32;
