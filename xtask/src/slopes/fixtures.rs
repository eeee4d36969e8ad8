//! Settings and release notes of a given size.

use bytes::Bytes;
use note::{Fleet, Front, Note, Service, ShardMap, Target, TargetState, Zone, ZoneState};
use settings::Settings;

/// Name of the front that queries are sent to.
pub const FRONT: &str = "parts";
/// Replicas of each service, as deployed today.
pub const REPLICAS_PER_SERVICE_COUNT: u32 = 2;
/// Zones at the fleet size expected in two years.
const ZONES_COUNT: u32 = 5;
/// Large enough that no limit of a target affects a measurement.
const UNLIMITED_COUNT: u32 = 100_000;

const SETTINGS: &str = r#"{
    "instance": {"name": "zone-0-instance-0", "zone": "zone-0"},
    "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
    "platform": {"address": "127.0.0.1:4"},
    "admit": {"running_max_count": 100000, "queued_max_count": 100000},
    "query": {"hedge_budget_percent": 0}
}"#;

/// Returns the settings of an instance that admits every query.
pub fn settings() -> Settings {
    let mut findings = findings::Findings::default();
    settings::read(SETTINGS, &mut findings).expect("the settings have no findings")
}

/// Returns a note of `targets_count` targets with a front of `services_count` services.
pub fn note(targets_count: u32, services_count: u32) -> Note {
    note_with_replicas(targets_count, services_count, REPLICAS_PER_SERVICE_COUNT)
}

/// Like [`note`], with another number of replicas for each service.
///
/// There are at least `services_count` services, even if that takes more than `targets_count`
/// targets.
pub fn note_with_replicas(targets_count: u32, services_count: u32, replicas_count: u32) -> Note {
    let total_services_count = (targets_count / replicas_count).max(services_count);
    let services: Vec<Service> = (0..total_services_count)
        .map(|index| service(index, replicas_count))
        .collect();
    let queried_services = services.iter().take(services_count as usize);
    let front = Front {
        name: FRONT.to_owned(),
        requests: Default::default(),
        zones: Vec::new(),
        shard_maps: vec![ShardMap {
            from_snapshot: 1,
            services: queried_services
                .map(|service| service.name.clone())
                .collect(),
        }],
    };
    let zones: Vec<Zone> = (0..ZONES_COUNT).map(zone).collect();
    let mut added: Vec<String> = zones
        .iter()
        .map(|zone| format!("zone/{}", zone.name))
        .collect();
    added.push(format!("front/{FRONT}"));
    added.extend(
        services
            .iter()
            .map(|service| format!("service/{}", service.name)),
    );
    Note {
        revision: 1,
        added,
        changed: Vec::new(),
        withdrawn: Vec::new(),
        fleet: Fleet {
            zones,
            fronts: vec![front],
            services,
            released_fingerprints: Vec::new(),
        },
    }
}

/// Encodes a note as the platform publishes it.
pub fn encode_note(note: &Note) -> Bytes {
    let json = serde_json::to_vec(note);
    json.expect("a note can be encoded").into()
}

fn zone(index: u32) -> Zone {
    Zone {
        name: zone_name(index),
        state: ZoneState::In,
    }
}

/// Returns the name of a zone; the index wraps around.
pub fn zone_name(index: u32) -> String {
    format!("zone-{}", index % ZONES_COUNT)
}

fn service(index: u32, replicas_count: u32) -> Service {
    Service {
        name: service_name(index),
        targets: (0..replicas_count)
            .map(|replica| target(index, index * replicas_count + replica))
            .collect(),
    }
}

/// Returns the name of the service at an index.
pub fn service_name(index: u32) -> String {
    format!("{FRONT}-{index:04}")
}

fn target(service: u32, number: u32) -> Target {
    let [_, _, high, low] = number.to_be_bytes();
    Target {
        name: format!("{FRONT}-{service:04}-{number}"),
        zone: zone_name(number),
        address: ([127, 1, high, low], 8080).into(),
        slots_count: UNLIMITED_COUNT,
        connections_max_count: UNLIMITED_COUNT,
        cold_bearable_count: UNLIMITED_COUNT,
        state: TargetState::In,
    }
}
