//! The choice of the snapshot that a query reads.

use std::ops::RangeInclusive;

use model::{ServiceKey, Snapshot, ZoneKey};

use crate::{Routes, Target, choose::may_receive_work};

/// A snapshot and how much of a front it covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cover {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Services that can be read at it.
    pub services_count: usize,
}

/// Returns the snapshot within bounds that most of the services can be read at; among equals the
/// newest one.
///
/// A service whose targets lag behind costs that one service, not the freshness or the coverage of
/// all others.
pub fn best_snapshot(
    routes: &Routes,
    services: &[ServiceKey],
    zones: &[ZoneKey],
    bounds: &RangeInclusive<Snapshot>,
) -> Option<Cover> {
    let mut candidates: Vec<Snapshot> = Vec::new();
    for target in services.iter().flat_map(|&key| usable(routes, key, zones)) {
        let newest = target.newest_snapshot.min(*bounds.end());
        let is_served = newest >= target.oldest_snapshot;
        if is_served && bounds.contains(&newest) && !candidates.contains(&newest) {
            candidates.push(newest);
        }
    }
    let covers = candidates.into_iter().map(|snapshot| Cover {
        snapshot,
        services_count: services
            .iter()
            .filter(|&&key| usable(routes, key, zones).any(|target| serves(target, snapshot)))
            .count(),
    });
    covers.max_by_key(|cover| (cover.services_count, cover.snapshot))
}

fn usable<'a>(
    routes: &'a Routes,
    service: ServiceKey,
    zones: &'a [ZoneKey],
) -> impl Iterator<Item = &'a Target> {
    let targets = routes.services.get(service);
    let targets = targets.into_iter().flat_map(|service| &service.targets);
    targets
        .map(|&key| &routes.targets[key])
        .filter(|target| may_receive_work(routes, target, zones))
}

/// Tells whether a target serves a snapshot.
pub(crate) fn serves(target: &Target, snapshot: Snapshot) -> bool {
    (target.oldest_snapshot..=target.newest_snapshot).contains(&snapshot)
}
