//! The release note of a case, and its capacity.

use std::net::{Ipv4Addr, SocketAddr};

use model::Snapshot;
use note::{Fleet, Front, Note, Service, ShardMap, Target, TargetState, Zone, ZoneState};

use crate::case::{Case, Services};

/// Name of the front that every request asks.
pub const FRONT: &str = "front";
/// Snapshot of all targets at the beginning.
pub const FIRST_SNAPSHOT: Snapshot = 1;

const FIRST_PORT: usize = 10_000;

/// Returns the address of a target.
pub fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(FIRST_PORT + index).unwrap_or(u16::MAX);
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns the position of the target with an address.
pub fn index(address: SocketAddr) -> usize {
    usize::from(address.port()) - FIRST_PORT
}

/// Returns every service of a case with its group.
pub fn services(case: &Case) -> impl Iterator<Item = (&Services, u32)> {
    let groups = case.services.iter();
    groups.flat_map(|group| (0..group.count).map(move |number| (group, number)))
}

/// Returns the note that is in force at the beginning.
pub fn first_note(case: &Case) -> Note {
    let zones = case.zones.iter().map(|name| Zone {
        name: name.clone(),
        state: ZoneState::In,
    });
    let mut targets_count = 0;
    let services: Vec<Service> = services(case)
        .enumerate()
        .map(|(position, (group, number))| {
            service(case, group, number, position, &mut targets_count)
        })
        .collect();
    let first_count = case.initial_services_count.map(|count| count as usize);
    let names = services.iter().map(|service| service.name.clone());
    let names = names.take(first_count.unwrap_or(services.len()));
    let front = Front {
        name: FRONT.to_owned(),
        requests: Default::default(),
        zones: Vec::new(),
        shard_maps: vec![ShardMap {
            from_snapshot: FIRST_SNAPSHOT,
            services: names.collect(),
        }],
    };
    Note {
        revision: 1,
        added: Vec::new(),
        changed: Vec::new(),
        withdrawn: Vec::new(),
        fleet: Fleet {
            zones: zones.collect(),
            fronts: vec![front],
            services,
            released_fingerprints: Vec::new(),
        },
    }
}

/// Returns the requests a second that all slots together can serve.
pub fn capacity_per_second(case: &Case) -> f64 {
    let sigma = case.latency.sigma;
    let mean = case.latency.median.as_secs_f64() * (sigma * sigma / 2.0).exp();
    let straggler = &case.straggler;
    let mean = mean * (1.0 + straggler.ratio * (straggler.factor - 1.0));
    let slots = case
        .services
        .iter()
        .map(|group| group.targets_count * group.slots_count);
    let slots = slots.min().unwrap_or(1);
    f64::from(slots) / mean
}

fn service(
    case: &Case,
    group: &Services,
    number: u32,
    position: usize,
    targets_count: &mut usize,
) -> Service {
    let name = format!("{}-{number:03}", group.name);
    let targets = (0..group.targets_count as usize).map(|replica| {
        let index = *targets_count;
        *targets_count += 1;
        Target {
            name: format!("{name}-{replica}"),
            zone: case.zones[(position + replica) % case.zones.len()].clone(),
            address: address(index),
            slots_count: group.slots_count,
            connections_max_count: group.connections_max_count,
            cold_bearable_count: group.cold_bearable_count,
            state: TargetState::In,
        }
    });
    Service {
        targets: targets.collect(),
        name,
    }
}
