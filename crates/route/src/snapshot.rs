//! Selection of the snapshot that a query reads.

use std::ops::RangeInclusive;

use model::{ServiceKey, Snapshot, ZoneKey};

use crate::{Routes, Target, select::is_eligible};

/// A snapshot and the number of services that serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotCoverage {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Services of which at least one eligible target serves it.
    pub services_count: usize,
}

/// Returns the snapshot within `bounds` that most of the services serve; of several, the newest
/// one.
///
/// If all targets of a service lag behind, only that service is missing; the others keep the newer
/// snapshot.
pub fn best_snapshot(
    routes: &Routes,
    services: &[ServiceKey],
    zones: &[ZoneKey],
    bounds: &RangeInclusive<Snapshot>,
) -> Option<SnapshotCoverage> {
    let mut candidates: Vec<Snapshot> = Vec::new();
    for target in services
        .iter()
        .flat_map(|&key| eligible_targets(routes, key, zones))
    {
        let newest = target.newest_snapshot.min(*bounds.end());
        let is_served = newest >= target.oldest_snapshot;
        if is_served && bounds.contains(&newest) && !candidates.contains(&newest) {
            candidates.push(newest);
        }
    }
    let coverages = candidates.into_iter().map(|snapshot| SnapshotCoverage {
        snapshot,
        services_count: services
            .iter()
            .filter(|&&key| {
                eligible_targets(routes, key, zones).any(|target| serves(target, snapshot))
            })
            .count(),
    });
    coverages.max_by_key(|coverage| (coverage.services_count, coverage.snapshot))
}

fn eligible_targets<'a>(
    routes: &'a Routes,
    service: ServiceKey,
    zones: &'a [ZoneKey],
) -> impl Iterator<Item = &'a Target> {
    let targets = routes.services.get(service);
    let targets = targets.into_iter().flat_map(|service| &service.targets);
    targets
        .map(|&key| &routes.targets[key])
        .filter(|target| is_eligible(routes, target, zones))
}

/// Returns whether a target serves a snapshot, by its last load report.
pub(crate) fn serves(target: &Target, snapshot: Snapshot) -> bool {
    (target.oldest_snapshot..=target.newest_snapshot).contains(&snapshot)
}
