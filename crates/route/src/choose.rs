//! The choice of one target among the replicas of a service.

use model::{MissingReason, ServiceKey, Snapshot, TargetKey, ZoneKey};

use crate::{Routes, Target};

/// What a call needs from its target.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// The service.
    pub service: ServiceKey,
    /// Snapshot that the target must serve, if the call reads one.
    pub snapshot: Option<Snapshot>,
    /// Zones that may be used; all if empty.
    pub zones: &'a [ZoneKey],
    /// Targets that were tried already.
    pub tried: &'a [TargetKey],
}

/// Chooses the target with the smallest share of its slots in use.
///
/// # Errors
///
/// Returns why no target of the service can be used.
pub fn choose(routes: &Routes, want: &Want<'_>) -> Result<TargetKey, MissingReason> {
    let Some(service) = routes.services.get(want.service) else {
        return Err(MissingReason::NoTarget);
    };
    let mut reason = MissingReason::NoTarget;
    let mut best: Option<(u64, TargetKey)> = None;
    for &key in &service.targets {
        let target = &routes.targets[key];
        if want.tried.contains(&key) || !may_receive_work(routes, target, want.zones) {
            continue;
        }
        if !serves(target, want.snapshot) {
            reason = MissingReason::SnapshotGone;
            continue;
        }
        if target.in_flight_count >= target.share_count {
            continue;
        }
        let load = u64::from(target.in_flight_count) * 1000 / u64::from(target.slots_count.max(1));
        if best.is_none_or(|(best_load, _)| load < best_load) {
            best = Some((load, key));
        }
    }
    best.map(|(_, key)| key).ok_or(reason)
}

/// Returns the newest snapshot that every service with a usable target can serve.
pub fn newest_snapshot(
    routes: &Routes,
    services: &[ServiceKey],
    zones: &[ZoneKey],
) -> Option<Snapshot> {
    let per_service = services.iter().filter_map(|&key| {
        let service = routes.services.get(key)?;
        let targets = service.targets.iter().map(|&key| &routes.targets[key]);
        let usable = targets.filter(|target| may_receive_work(routes, target, zones));
        usable.map(|target| target.newest_snapshot).max()
    });
    per_service.min()
}

fn may_receive_work(routes: &Routes, target: &Target, zones: &[ZoneKey]) -> bool {
    let is_in_zones = zones.is_empty() || zones.contains(&target.zone);
    let is_zone_in = routes
        .zones
        .get(target.zone)
        .is_some_and(|zone| !zone.is_out);
    let is_known = target.incarnation != 0;
    is_in_zones && is_zone_in && is_known && !target.is_leaving && !target.is_unreachable
}

fn serves(target: &Target, snapshot: Option<Snapshot>) -> bool {
    let Some(snapshot) = snapshot else {
        return true;
    };
    (target.oldest_snapshot..=target.newest_snapshot).contains(&snapshot)
}
