//! Updating the routing table from an accepted configuration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use model::{Effect, ServiceKey, TargetKey, TargetPhase, ZoneKey};
use note::{Note, TargetState, ZoneState};

use crate::{
    ColdStart, Front, Latency, Reachability, RemainderOffsets, Routes, Service, ShardMap, Target,
    Zone, cold_start, share,
};

/// Replaces the fronts, services, targets and zones by those of a release note.
///
/// Zones and services of the same name, and targets of the same name and address, keep their keys
/// and their observed state. Every new target is probed, and the connections to every removed one
/// are closed.
pub fn apply(routes: &mut Routes, note: &Note, out: &mut Vec<Effect>) {
    routes.revision = note.revision;
    let zones = apply_zones(routes, note);
    routes.own_zone = zones.get(&routes.settings.own_zone_name).copied();
    let services = apply_services(routes, note, &zones, out);
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
        let was_out = std::mem::replace(&mut routes.zones[key].is_out, is_out);
        if was_out && !is_out {
            enter_cold_start_in_zone(routes, key);
        }
        kept.insert(zone.name.clone(), key);
    }
    routes.zones.retain(|_, zone| kept.contains_key(&zone.name));
    kept
}

/// Makes the targets of a zone cold, because they received no calls while the zone was out.
fn enter_cold_start_in_zone(routes: &mut Routes, zone: ZoneKey) {
    for target in routes.targets.values_mut() {
        if target.zone == zone {
            cold_start::enter_cold_start(target);
        }
    }
}

fn apply_services(
    routes: &mut Routes,
    note: &Note,
    zones: &BTreeMap<String, ZoneKey>,
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
                latency: Latency::default(),
            }),
        };
        let mut targets = Vec::new();
        let mut offsets = RemainderOffsets::of_service(&service.name);
        for target in &service.targets {
            let Some(&zone) = zones.get(&target.zone) else {
                continue;
            };
            offsets = offsets.next_replica(target);
            let placement = Placement {
                service: key,
                zone,
                offsets,
            };
            let known = known_targets.remove(&target.name);
            targets.push(apply_target(routes, target, placement, known, out));
        }
        routes.services[key].targets = targets;
        kept.insert(service.name.clone(), key);
    }
    for key in known_targets.into_values() {
        remove_target(routes, key, out);
    }
    routes
        .services
        .retain(|_, service| kept.contains_key(&*service.name));
    kept
}

/// The service and the zone of a target, and its offsets among the replicas.
#[derive(Clone, Copy, Debug)]
struct Placement {
    service: ServiceKey,
    zone: ZoneKey,
    offsets: RemainderOffsets,
}

fn apply_target(
    routes: &mut Routes,
    published: &note::Target,
    placement: Placement,
    known: Option<TargetKey>,
    out: &mut Vec<Effect>,
) -> TargetKey {
    let is_leaving = published.state == TargetState::Leaving;
    if let Some(key) = known {
        if routes.targets[key].address == published.address {
            update_target(routes, key, published, placement, out);
            return key;
        }
        remove_target(routes, key, out);
    }
    let share_count = share::own_share(
        routes,
        published.connections_max_count,
        placement.offsets.connections_count,
    );
    let cold_share_count = share::own_share(
        routes,
        published.cold_bearable_count,
        placement.offsets.cold_count,
    );
    let key = routes.targets.insert(Target {
        name: published.name.clone(),
        service: placement.service,
        zone: placement.zone,
        address: published.address,
        slots_count: published.slots_count,
        connections_max_count: published.connections_max_count,
        cold_bearable_count: published.cold_bearable_count,
        is_leaving,
        offsets: placement.offsets,
        share_count,
        cold_share_count,
        in_flight_count: 0,
        others_in_flight_count: 0,
        reported_at: None,
        phase: TargetPhase::Cold,
        reported_bearable_count: 0,
        incarnation: 0,
        oldest_snapshot: 0,
        newest_snapshot: 0,
        mean_latency: Duration::ZERO,
        reachability: Reachability::default(),
        cold_start: ColdStart::default(),
    });
    out.push(Effect::ResizePool {
        target: key,
        address: published.address,
        connections_count: share_count,
    });
    share::preconnect(key, share_count, out);
    key
}

fn update_target(
    routes: &mut Routes,
    key: TargetKey,
    published: &note::Target,
    placement: Placement,
    out: &mut Vec<Effect>,
) {
    let is_leaving = published.state == TargetState::Leaving;
    let entitled_count = share::own_share(
        routes,
        published.connections_max_count,
        placement.offsets.connections_count,
    );
    let cold_count = share::own_share(
        routes,
        published.cold_bearable_count,
        placement.offsets.cold_count,
    );
    let target = &mut routes.targets[key];
    // A target that was leaving received no calls, so it is cold until calls succeed.
    if target.is_leaving && !is_leaving {
        cold_start::enter_cold_start(target);
    }
    target.service = placement.service;
    target.zone = placement.zone;
    target.offsets = placement.offsets;
    target.slots_count = published.slots_count;
    target.connections_max_count = published.connections_max_count;
    target.cold_bearable_count = published.cold_bearable_count;
    target.is_leaving = is_leaving;
    target.cold_share_count = target.cold_share_count.min(cold_count);
    if entitled_count < target.share_count {
        target.share_count = entitled_count;
        out.push(Effect::ResizePool {
            target: key,
            address: target.address,
            connections_count: entitled_count,
        });
    }
    if entitled_count > target.share_count || cold_count > target.cold_share_count {
        routes.division.is_growing = true;
        routes.division.changed_at = None;
    }
}

fn remove_target(routes: &mut Routes, key: TargetKey, out: &mut Vec<Effect>) {
    let Some(target) = routes.targets.remove(key) else {
        return;
    };
    out.push(Effect::ResizePool {
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
        is_once_only: front.requests == note::AcceptedRequests::Once,
        zones: front
            .zones
            .iter()
            .filter_map(|name| zones.get(name).copied())
            .collect(),
        shard_maps: shard_maps.collect(),
    }
}
