//! The state of the measured world.

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
    fleet::{self, FIRST_SNAPSHOT},
    happening::{Notice, TargetIndex},
    tally::Tally,
};

/// Everything outside the measured policy.
#[derive(Debug)]
pub struct World {
    /// The case.
    pub case: Case,
    /// Generator of arrivals, which are the same for every policy.
    pub arrivals_rng: ChaCha8Rng,
    /// Generator of latencies.
    pub rng: ChaCha8Rng,
    /// Whether some calls take much longer.
    pub has_stragglers: bool,
    /// Requests a second.
    pub arrivals_per_second: f64,
    /// Requests so far.
    pub requests_count: u64,
    /// Requests without an answer, by number.
    pub callers: HashMap<u64, Caller>,
    /// Calls without an end.
    pub calls: SecondaryMap<CallKey, Call>,
    /// Targets.
    pub targets: Vec<Target>,
    /// Positions of targets by the policy's keys.
    pub target_keys: SecondaryMap<TargetKey, TargetIndex>,
    /// Names of the services.
    pub services: Vec<Arc<str>>,
    /// The note in force.
    pub note: Note,
    /// What was measured.
    pub tally: Tally,
}

/// A request without an answer.
#[derive(Clone, Debug)]
pub struct Caller {
    /// When it arrived.
    pub arrived_at: Duration,
    /// Importance.
    pub priority: Priority,
    /// Calls by service.
    pub calls_counts: Vec<u8>,
}

/// A call without an end.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its target.
    pub target: TargetIndex,
    /// Number of the request.
    pub number: u64,
    /// Snapshot to read.
    pub snapshot: Option<Snapshot>,
    /// When the target should give up.
    pub deadline: Duration,
    /// Whether it is being executed.
    pub is_running: bool,
}

/// A target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name.
    pub name: String,
    /// Position of its service.
    pub service: usize,
    /// Time one way.
    pub way: Duration,
    /// Time to open a connection.
    pub connect: Duration,
    /// Calls that it executes at the same time.
    pub slots_count: u32,
    /// Connections that it accepts.
    pub connections_max_count: u32,
    /// Calls that it bears in cold start.
    pub cold_bearable_count: u32,
    /// Open connections.
    pub open_count: u32,
    /// Connections in use.
    pub busy_count: u32,
    /// Calls that are being executed.
    pub running: Vec<CallKey>,
    /// Calls that wait.
    pub queue: VecDeque<CallKey>,
    /// Identifier of the process.
    pub incarnation: u64,
    /// Whether it has stopped.
    pub is_lost: bool,
    /// Whether it never replies.
    pub is_hung: bool,
    /// Since when it is in cold start.
    pub cold_since: Option<Duration>,
    /// Newest snapshot served.
    pub newest_snapshot: Snapshot,
}

/// Returns the world of a case at its beginning.
pub fn open(case: &Case, seed: u64, has_stragglers: bool) -> World {
    let note = fleet::first_note(case);
    let services: Vec<Arc<str>> = note
        .fleet
        .services
        .iter()
        .map(|service| service.name.as_str().into())
        .collect();
    let mut targets = Vec::new();
    for (position, (group, _)) in fleet::services(case).enumerate() {
        for published in &note.fleet.services[position].targets {
            let is_near = published.zone == case.zones[0];
            targets.push(Target {
                name: published.name.clone(),
                service: position,
                way: if is_near {
                    case.way_same_zone
                } else {
                    case.way_other_zone
                },
                connect: group.connect,
                slots_count: group.slots_count,
                connections_max_count: group.connections_max_count,
                cold_bearable_count: group.cold_bearable_count,
                open_count: 0,
                busy_count: 0,
                running: Vec::new(),
                queue: VecDeque::new(),
                incarnation: 1,
                is_lost: false,
                is_hung: false,
                cold_since: None,
                newest_snapshot: FIRST_SNAPSHOT,
            });
        }
    }
    World {
        arrivals_rng: ChaCha8Rng::seed_from_u64(seed),
        rng: ChaCha8Rng::seed_from_u64(seed ^ u64::MAX),
        has_stragglers,
        arrivals_per_second: case.load_ratio * fleet::capacity_per_second(case),
        requests_count: 0,
        callers: HashMap::new(),
        calls: SecondaryMap::new(),
        targets,
        target_keys: SecondaryMap::new(),
        services,
        note,
        tally: Tally::default(),
        case: case.clone(),
    }
}

/// Returns the note in force as the platform hands it out.
pub fn note_notice(world: &World) -> Notice {
    let document = serde_json::to_vec(&world.note);
    Notice::Note {
        version: world.note.revision,
        body: document.expect("a note can be encoded").into(),
    }
}

/// Returns the list of the other instances as the platform hands it out.
pub fn instances_notice(world: &World) -> Notice {
    let others = (1..world.case.instances_count).map(|number| {
        serde_json::json!({
            "name": format!("other-{number}"), "zone": world.case.zones[0],
            "peers": format!("127.0.0.1:{number}"), "state": "live",
        })
    });
    let document = serde_json::Value::from(others.collect::<Vec<_>>());
    Notice::Instances {
        body: document.to_string().into(),
    }
}

/// Returns the key under which the policy knows a request.
pub fn caller_key(number: u64) -> CallerKey {
    KeyData::from_ffi(number | FIRST_VERSION).into()
}

/// Returns the number of a request.
pub fn caller_number(key: CallerKey) -> u64 {
    key.data().as_ffi() & !FIRST_VERSION
}

/// Bit of a key that says that its place is in use.
const FIRST_VERSION: u64 = 1 << 32;
