//! The initial release note of a case, the addresses of its targets and its capacity.

use std::net::{Ipv4Addr, SocketAddr};

use model::Snapshot;
use note::{Fleet, Front, Note, Service, ShardMap, Target, TargetState, Zone, ZoneState};

use crate::case::{Case, ServiceGroup};

/// Name of the only front; every request queries it.
pub const FRONT: &str = "front";
/// Newest snapshot of all targets at the start.
pub const INITIAL_SNAPSHOT: Snapshot = 1;

const FIRST_PORT: usize = 10_000;

/// Returns the address of a target, whose port encodes the index. Indices from 55 535 on share the
/// last port.
pub fn address_of(index: usize) -> SocketAddr {
    let port = u16::try_from(FIRST_PORT + index).unwrap_or(u16::MAX);
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns the index of the target with an address.
pub fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - FIRST_PORT
}

/// Returns every service of a case as its group and its number within the group.
pub fn services(case: &Case) -> impl Iterator<Item = (&ServiceGroup, u32)> {
    let groups = case.services.iter();
    groups.flat_map(|group| (0..group.count).map(move |number| (group, number)))
}

/// Returns the release note that is in force at the start.
pub fn initial_note(case: &Case) -> Note {
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
    let initial_count = case.initial_services_count.map(|count| count as usize);
    let names = services.iter().map(|service| service.name.clone());
    let names = names.take(initial_count.unwrap_or(services.len()));
    let front = Front {
        name: FRONT.to_owned(),
        requests: Default::default(),
        zones: Vec::new(),
        shard_maps: vec![ShardMap {
            from_snapshot: INITIAL_SNAPSHOT,
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

/// Returns the requests per second that the service with the fewest slots can serve, at the mean
/// execution time with stragglers.
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
    group: &ServiceGroup,
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
            address: address_of(index),
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
