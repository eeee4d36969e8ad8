//! The choice of one target among the replicas of a service.

use std::time::Duration;

use model::{MissingReason, ServiceKey, Snapshot, TargetKey, ZoneKey};

use crate::{Routes, Target, confine, snapshot, warmth};

/// Calls in flight for each slot of a target, all instances together: one executes, the others are
/// on their way or wait, so that the slot never idles.
const CALLS_PER_SLOT: u32 = 3;
/// Queries of a front that run for each slot of its smallest service: a query waits for its slowest
/// service, so most of its slots are free again long before it ends.
const QUERIES_PER_SLOT: u32 = 10;
/// Mean latency that is assumed of a target in this instance's zone before its first call.
const NEAR_LATENCY: Duration = Duration::from_millis(1);
/// Mean latency that is assumed of a target in another zone before its first call.
const FAR_LATENCY: Duration = Duration::from_millis(4);

/// Time that a call needs to a target in this instance's zone.
const NEAR_WAY: Duration = Duration::from_micros(500);
/// Time that a call needs to a target in another zone.
const FAR_WAY: Duration = Duration::from_millis(2);

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

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// A target could be used but has as many calls as it may have at present.
    Busy,
    /// No target can be used.
    Missing(MissingReason),
}

/// Chooses the target that is expected to reply first.
///
/// # Errors
///
/// Returns why no target of the service can be used.
pub fn choose(routes: &Routes, want: &Want<'_>) -> Result<TargetKey, NoChoice> {
    let Some(service) = routes.services.get(want.service) else {
        return Err(NoChoice::Missing(MissingReason::NoTarget));
    };
    let mut reason = NoChoice::Missing(MissingReason::NoTarget);
    let mut best: Option<((Duration, u32), TargetKey)> = None;
    for &key in &service.targets {
        let target = &routes.targets[key];
        if want.tried.contains(&key) || !may_receive_work(routes, target, want.zones) {
            continue;
        }
        if !serves(target, want.snapshot) {
            reason = weightier(reason, NoChoice::Missing(MissingReason::SnapshotGone));
            continue;
        }
        if target.in_flight_count >= warmth::allowance(target) {
            reason = weightier(reason, NoChoice::Missing(MissingReason::Cold));
            continue;
        }
        if target.in_flight_count >= limit(routes, target) {
            reason = NoChoice::Busy;
            continue;
        }
        let cost = (expected_latency(routes, target), target.in_flight_count);
        if best.is_none_or(|(best_cost, _)| cost < best_cost) {
            best = Some((cost, key));
        }
    }
    best.map(|(_, key)| key).ok_or(reason)
}

/// Tells whether a target would execute a further call at once.
pub fn has_free_slot(routes: &Routes, key: TargetKey) -> bool {
    let Some(target) = routes.targets.get(key) else {
        return false;
    };
    target.in_flight_count + target.foreign_count < target.slots_count * CALLS_PER_SLOT
}

/// Tells whether a cold target has more calls of this instance than it bears.
pub fn is_overfull(routes: &Routes, key: TargetKey) -> bool {
    let target = routes.targets.get(key);
    target.is_some_and(|target| target.in_flight_count > warmth::allowance(target))
}

/// Returns the time that a call needs to reach a target.
pub fn way_there(routes: &Routes, key: TargetKey) -> Duration {
    match routes.targets.get(key) {
        Some(target) if routes.own_zone == Some(target.zone) => NEAR_WAY,
        _ => FAR_WAY,
    }
}

/// Returns how many queries of a front its targets can serve at the same time.
///
/// The service with the fewest warm slots decides; one without any is answered for in part at once,
/// so it limits nothing.
pub fn running_limit(routes: &Routes, front: &str) -> u32 {
    let Some(front) = routes.fronts.get(front) else {
        return u32::MAX;
    };
    let services = front.shard_maps.iter().flat_map(|map| map.services.iter());
    let slots_counts = services.filter_map(|&key| {
        let service = routes.services.get(key)?;
        let targets = service.targets.iter().map(|&key| &routes.targets[key]);
        let usable = targets.filter(|target| {
            may_receive_work(routes, target, &front.zones) && !target.warmth.is_cold
        });
        let calls_count: u32 = usable.map(|target| limit(routes, target)).sum();
        Some(calls_count / CALLS_PER_SLOT).filter(|&slots_count| slots_count > 0)
    });
    let slots_count = slots_counts.min().unwrap_or(u32::MAX);
    slots_count.saturating_mul(QUERIES_PER_SLOT)
}

/// Returns how many calls this instance may have in flight to a target, warmth aside.
///
/// What other instances do not use may be used here, but never less than an equal part.
fn limit(routes: &Routes, target: &Target) -> u32 {
    let total_count = target.slots_count * CALLS_PER_SLOT;
    let equal_count = total_count.div_ceil(routes.division.instances_count.max(1));
    let unused_count = total_count.saturating_sub(target.foreign_count);
    unused_count.max(equal_count).min(target.share_count)
}

/// Returns the mean latency, stretched by the calls that a slot already has.
fn expected_latency(routes: &Routes, target: &Target) -> Duration {
    let mean_latency = match target.mean_latency {
        Duration::ZERO if routes.own_zone == Some(target.zone) => NEAR_LATENCY,
        Duration::ZERO => FAR_LATENCY,
        known => known,
    };
    let load_count = target.in_flight_count + target.foreign_count + 1;
    let late_factor = 1 + target.warmth.late_count;
    mean_latency * late_factor * load_count.max(target.slots_count) / target.slots_count.max(1)
}

/// Returns the reason to report: waiting helps if any target is only busy, and of the others the
/// one that is closest to working tells most.
fn weightier(known: NoChoice, found: NoChoice) -> NoChoice {
    let weight = |reason| match reason {
        NoChoice::Busy => 3,
        NoChoice::Missing(MissingReason::Cold) => 2,
        NoChoice::Missing(MissingReason::SnapshotGone) => 1,
        NoChoice::Missing(_) => 0,
    };
    if weight(found) > weight(known) {
        found
    } else {
        known
    }
}

/// Tells whether operators, the configuration and the target itself permit new work to it.
pub(crate) fn may_receive_work(routes: &Routes, target: &Target, zones: &[ZoneKey]) -> bool {
    let is_in_zones = zones.is_empty() || zones.contains(&target.zone);
    let is_zone_in = routes
        .zones
        .get(target.zone)
        .is_some_and(|zone| !zone.is_out);
    let is_known = target.incarnation != 0;
    let is_permitted = confine::permits(routes, target);
    is_in_zones
        && is_zone_in
        && is_permitted
        && is_known
        && !target.is_leaving
        && !target.reach.is_unreachable
        && target.phase != model::TargetPhase::Draining
}

fn serves(target: &Target, snapshot: Option<Snapshot>) -> bool {
    snapshot.is_none_or(|snapshot| snapshot::serves(target, snapshot))
}
