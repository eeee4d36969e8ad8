//! Bringing the table into line with an accepted configuration.

use std::{collections::BTreeMap, sync::Arc};

use model::{Effect, ServiceKey, TargetKey, TargetPhase, ZoneKey};
use note::{Note, TargetState, ZoneState};

use crate::{Front, Routes, Service, ShardMap, Target, Zone};

/// Replaces the fronts, services, targets and zones by those of a note.
///
/// What keeps its name and address keeps its key and what is known about it. Every new target is
/// asked for its load, and the connections to every withdrawn one are closed.
pub fn apply(routes: &mut Routes, note: &Note, instances_count: u32, out: &mut Vec<Effect>) {
    routes.revision = note.revision;
    let zones = apply_zones(routes, note);
    let services = apply_services(routes, note, &zones, instances_count, out);
    routes.fronts = note
        .fleet
        .fronts
        .iter()
        .map(|front| (front.name.clone(), new_front(front, &zones, &services)))
        .collect();
}

fn apply_zones(routes: &mut Routes, note: &Note) -> BTreeMap<String, ZoneKey> {
    let known: BTreeMap<String, ZoneKey> = routes
        .zones
        .iter()
        .map(|(key, zone)| (zone.name.clone(), key))
        .collect();
    let mut kept = BTreeMap::new();
    for zone in &note.fleet.zones {
        let is_out = zone.state == ZoneState::Out;
        let key = match known.get(&zone.name) {
            Some(&key) => key,
            None => routes.zones.insert(Zone {
                name: zone.name.clone(),
                is_out,
            }),
        };
        routes.zones[key].is_out = is_out;
        kept.insert(zone.name.clone(), key);
    }
    routes.zones.retain(|_, zone| kept.contains_key(&zone.name));
    kept
}

fn apply_services(
    routes: &mut Routes,
    note: &Note,
    zones: &BTreeMap<String, ZoneKey>,
    instances_count: u32,
    out: &mut Vec<Effect>,
) -> BTreeMap<String, ServiceKey> {
    let known_services: BTreeMap<Arc<str>, ServiceKey> = routes
        .services
        .iter()
        .map(|(key, service)| (service.name.clone(), key))
        .collect();
    let mut known_targets: BTreeMap<String, TargetKey> = routes
        .targets
        .iter()
        .map(|(key, target)| (target.name.clone(), key))
        .collect();
    let mut kept = BTreeMap::new();
    for service in &note.fleet.services {
        let name: Arc<str> = service.name.as_str().into();
        let key = match known_services.get(&name) {
            Some(&key) => key,
            None => routes.services.insert(Service {
                name,
                targets: Vec::new(),
            }),
        };
        let mut targets = Vec::new();
        for target in &service.targets {
            let Some(&zone) = zones.get(&target.zone) else {
                continue;
            };
            let known = known_targets.remove(&target.name);
            targets.push(apply_target(
                routes,
                target,
                key,
                zone,
                known,
                instances_count,
                out,
            ));
        }
        routes.services[key].targets = targets;
        kept.insert(service.name.clone(), key);
    }
    for key in known_targets.into_values() {
        withdraw(routes, key, out);
    }
    routes
        .services
        .retain(|_, service| kept.contains_key(&*service.name));
    kept
}

fn apply_target(
    routes: &mut Routes,
    published: &note::Target,
    service: ServiceKey,
    zone: ZoneKey,
    known: Option<TargetKey>,
    instances_count: u32,
    out: &mut Vec<Effect>,
) -> TargetKey {
    let share_count = (published.connections_max_count / instances_count.max(1)).max(1);
    let is_leaving = published.state == TargetState::Leaving;
    if let Some(key) = known {
        if routes.targets[key].address == published.address {
            let target = &mut routes.targets[key];
            target.service = service;
            target.zone = zone;
            target.slots_count = published.slots_count;
            target.connections_max_count = published.connections_max_count;
            target.cold_bearable_count = published.cold_bearable_count;
            target.is_leaving = is_leaving;
            return key;
        }
        withdraw(routes, key, out);
    }
    let key = routes.targets.insert(Target {
        name: published.name.clone(),
        service,
        zone,
        address: published.address,
        slots_count: published.slots_count,
        connections_max_count: published.connections_max_count,
        cold_bearable_count: published.cold_bearable_count,
        is_leaving,
        share_count,
        in_flight_count: 0,
        phase: TargetPhase::Cold,
        incarnation: 0,
        oldest_snapshot: 0,
        newest_snapshot: 0,
        is_unreachable: false,
    });
    out.push(Effect::Pool {
        target: key,
        address: published.address,
        connections_count: share_count,
    });
    out.push(Effect::AskLoad {
        target: key,
        connections_count: 1,
    });
    key
}

fn withdraw(routes: &mut Routes, key: TargetKey, out: &mut Vec<Effect>) {
    let Some(target) = routes.targets.remove(key) else {
        return;
    };
    out.push(Effect::Pool {
        target: key,
        address: target.address,
        connections_count: 0,
    });
}

fn new_front(
    front: &note::Front,
    zones: &BTreeMap<String, ZoneKey>,
    services: &BTreeMap<String, ServiceKey>,
) -> Front {
    let shard_maps = front.shard_maps.iter().map(|map| ShardMap {
        from_snapshot: map.from_snapshot,
        services: map
            .services
            .iter()
            .filter_map(|name| services.get(name).copied())
            .collect(),
    });
    Front {
        zones: front
            .zones
            .iter()
            .filter_map(|name| zones.get(name).copied())
            .collect(),
        shard_maps: shard_maps.collect(),
    }
}
