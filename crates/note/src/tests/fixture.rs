//! Small notes and fleets for the tests.

use crate::{Fleet, Front, Note, Service, ShardMap, Target, TargetState, Zone, ZoneState};

/// Returns a note with two zones, two services of two targets each and one front.
pub(crate) fn note(revision: u64) -> Note {
    let fleet = Fleet {
        zones: vec![zone("kranj"), zone("domzale")],
        fronts: vec![front("katalog", &["katalog-1", "katalog-2"])],
        services: vec![service("katalog-1", 1000), service("katalog-2", 1010)],
        released_fingerprints: vec![7],
    };
    Note {
        revision,
        added: Vec::new(),
        changed: Vec::new(),
        withdrawn: Vec::new(),
        fleet,
    }
}

pub(crate) fn zone(name: &str) -> Zone {
    Zone {
        name: name.to_owned(),
        state: ZoneState::In,
    }
}

pub(crate) fn front(name: &str, services: &[&str]) -> Front {
    let services = services.iter().map(|&service| service.to_owned()).collect();
    let from_snapshot = 1;
    Front {
        name: name.to_owned(),
        requests: Default::default(),
        zones: Vec::new(),
        shard_maps: vec![ShardMap {
            from_snapshot,
            services,
        }],
    }
}

pub(crate) fn service(name: &str, first_port: u16) -> Service {
    let targets = ["kranj", "domzale"].into_iter().zip(first_port..);
    Service {
        name: name.to_owned(),
        targets: targets
            .map(|(zone, port)| target(name, zone, port))
            .collect(),
    }
}

fn target(service: &str, zone: &str, port: u16) -> Target {
    Target {
        name: format!("{service}-{zone}"),
        zone: zone.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        slots_count: 2,
        connections_max_count: 25,
        cold_bearable_count: 1,
        state: TargetState::In,
    }
}
