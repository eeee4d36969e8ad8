//! Selection of one target among the replicas of a service.

use std::time::Duration;

use model::{MissingReason, ServiceKey, Snapshot, TargetKey, ZoneKey};

use crate::{Routes, Target, cold_start, confine, snapshot};

/// Limit of the calls in flight per slot of a target, all instances together: one is executed, the
/// others are in transit or queued, so that the slot never idles.
const CALLS_PER_SLOT: u32 = 3;
/// Concurrent queries of a front per slot of its smallest service. A query waits for its slowest
/// service, so most of the slots that it occupies are free again long before it ends.
const QUERIES_PER_SLOT: u32 = 10;
/// Assumed mean latency of a target in this instance's zone before its first call.
const SAME_ZONE_INITIAL_LATENCY: Duration = Duration::from_millis(1);
/// Assumed mean latency of a target in another zone before its first call.
const OTHER_ZONE_INITIAL_LATENCY: Duration = Duration::from_millis(4);

/// Assumed one-way network delay to a target in this instance's zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(500);
/// Assumed one-way network delay to a target in another zone.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(2);

/// Requirements of a call on its target.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service that the target must be a replica of.
    pub service: ServiceKey,
    /// Snapshot that the target must serve, if the call reads one.
    pub snapshot: Option<Snapshot>,
    /// Zones that the target may be in; all if empty.
    pub zones: &'a [ZoneKey],
    /// Targets that are excluded because they were called before.
    pub tried: &'a [TargetKey],
}

/// Why no target was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectError {
    /// At least one eligible target has reached its limit of calls in flight, so that waiting
    /// helps.
    Busy,
    /// No target of the service can be called, for this reason.
    Missing(MissingReason),
}

/// Selects the eligible target with the lowest expected latency.
///
/// # Errors
///
/// Returns why no target of the service can be called.
pub fn select_target(routes: &Routes, criteria: &Criteria<'_>) -> Result<TargetKey, SelectError> {
    let Some(service) = routes.services.get(criteria.service) else {
        return Err(SelectError::Missing(MissingReason::NoTarget));
    };
    let mut reason = SelectError::Missing(MissingReason::NoTarget);
    let mut best: Option<((Duration, u32), TargetKey)> = None;
    for &key in &service.targets {
        let target = &routes.targets[key];
        if criteria.tried.contains(&key) || !is_eligible(routes, target, criteria.zones) {
            continue;
        }
        if !serves(target, criteria.snapshot) {
            reason = more_specific(reason, SelectError::Missing(MissingReason::SnapshotGone));
            continue;
        }
        if target.in_flight_count >= cold_start::ramp_limit(target) {
            reason = more_specific(reason, SelectError::Missing(MissingReason::Cold));
            continue;
        }
        if target.in_flight_count >= in_flight_limit(routes, target) {
            reason = SelectError::Busy;
            continue;
        }
        let cost = (expected_latency(routes, target), target.in_flight_count);
        if best.is_none_or(|(best_cost, _)| cost < best_cost) {
            best = Some((cost, key));
        }
    }
    best.map(|(_, key)| key).ok_or(reason)
}

/// Returns whether a target has fewer than `CALLS_PER_SLOT` calls per slot, all instances together.
pub fn has_spare_capacity(routes: &Routes, key: TargetKey) -> bool {
    let Some(target) = routes.targets.get(key) else {
        return false;
    };
    target
        .in_flight_count
        .saturating_add(target.others_in_flight_count)
        < target.slots_count.saturating_mul(CALLS_PER_SLOT)
}

/// Returns whether this instance has more calls in flight to a cold target than its ramp limit.
pub fn is_above_ramp_limit(routes: &Routes, key: TargetKey) -> bool {
    let target = routes.targets.get(key);
    target.is_some_and(|target| target.in_flight_count > cold_start::ramp_limit(target))
}

/// Returns the assumed one-way network delay to a target.
pub fn one_way_delay(routes: &Routes, key: TargetKey) -> Duration {
    match routes.targets.get(key) {
        Some(target) if routes.own_zone == Some(target.zone) => SAME_ZONE_DELAY,
        _ => OTHER_ZONE_DELAY,
    }
}

/// Returns how many queries of a front this instance may run concurrently.
///
/// The service whose warm targets have the fewest slots for this instance sets the limit. A service
/// without any is ignored: it is reported as missing at once, so it holds up no query.
pub fn query_concurrency_limit(routes: &Routes, front: &str) -> u32 {
    let Some(front) = routes.fronts.get(front) else {
        return u32::MAX;
    };
    let services = front.shard_maps.iter().flat_map(|map| map.services.iter());
    let slots_counts = services.filter_map(|&key| {
        let service = routes.services.get(key)?;
        let targets = service.targets.iter().map(|&key| &routes.targets[key]);
        let warm_targets = targets.filter(|target| {
            is_eligible(routes, target, &front.zones) && !target.cold_start.is_cold
        });
        let calls_count: u32 = warm_targets
            .map(|target| in_flight_limit(routes, target))
            .sum();
        Some(calls_count / CALLS_PER_SLOT).filter(|&slots_count| slots_count > 0)
    });
    let slots_count = slots_counts.min().unwrap_or(u32::MAX);
    slots_count.saturating_mul(QUERIES_PER_SLOT)
}

/// Returns how many calls this instance may have in flight to a target, apart from cold start.
///
/// This instance may use the capacity that other instances leave unused, and at least an equal
/// share of the whole, but never more than its connections.
fn in_flight_limit(routes: &Routes, target: &Target) -> u32 {
    let total_count = target.slots_count.saturating_mul(CALLS_PER_SLOT);
    let equal_count = total_count.div_ceil(routes.division.instances_count.max(1));
    let unused_count = total_count.saturating_sub(target.others_in_flight_count);
    unused_count.max(equal_count).min(target.share_count)
}

/// Returns the mean latency, scaled by the calls per slot and by the number of late calls in a row.
fn expected_latency(routes: &Routes, target: &Target) -> Duration {
    let mean_latency = match target.mean_latency {
        Duration::ZERO if routes.own_zone == Some(target.zone) => SAME_ZONE_INITIAL_LATENCY,
        Duration::ZERO => OTHER_ZONE_INITIAL_LATENCY,
        known => known,
    };
    let calls_count = target
        .in_flight_count
        .saturating_add(target.others_in_flight_count);
    let load_count = calls_count.saturating_add(1);
    let late_factor = 1 + target.cold_start.late_count;
    mean_latency * late_factor * load_count.max(target.slots_count) / target.slots_count.max(1)
}

/// Returns the reason to report for a service: `Busy` if any target is merely busy, because waiting
/// helps then; otherwise the reason of the target that fails the fewest conditions.
fn more_specific(known: SelectError, found: SelectError) -> SelectError {
    let rank = |reason| match reason {
        SelectError::Busy => 3,
        SelectError::Missing(MissingReason::Cold) => 2,
        SelectError::Missing(MissingReason::SnapshotGone) => 1,
        SelectError::Missing(_) => 0,
    };
    if rank(found) > rank(known) {
        found
    } else {
        known
    }
}

/// Returns whether a target may receive new calls, by configuration, reachability and load reports.
pub(crate) fn is_eligible(routes: &Routes, target: &Target, zones: &[ZoneKey]) -> bool {
    let is_in_zones = zones.is_empty() || zones.contains(&target.zone);
    let is_zone_in = routes
        .zones
        .get(target.zone)
        .is_some_and(|zone| !zone.is_out);
    let has_reported = target.incarnation != 0;
    let is_permitted = confine::permits_zone_of(routes, target);
    is_in_zones
        && is_zone_in
        && is_permitted
        && has_reported
        && !target.is_leaving
        && !target.reachability.is_unreachable
        && target.phase != model::TargetPhase::Draining
}

fn serves(target: &Target, snapshot: Option<Snapshot>) -> bool {
    snapshot.is_none_or(|snapshot| snapshot::serves(target, snapshot))
}
