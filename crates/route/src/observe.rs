//! Updating the observed state of targets from calls, load reports and probes.

use std::time::{Duration, Instant};

use model::{CallFailure, Effect, LoadReport, ReplyStatus, ServiceKey, Snapshot, TargetKey};

use crate::{Routes, Target, cold_start, latency, reachability};

/// The newest call has a weight of one in this many in a target's mean latency.
const MEAN_WEIGHT_DIVISOR: u32 = 8;
/// The latency of a call is clipped to this many times the mean before it enters the mean.
const MEAN_CLIP_FACTOR: u32 = 4;

/// A call is slow if it takes more than this many halves of its service's median latency.
const SLOW_MEDIAN_HALVES: u32 = 3;

/// Time after a pause of the process during which failed probes do not count against their targets:
/// a probe in flight may have timed out because of the pause.
const POST_PAUSE_GRACE: Duration = Duration::from_secs(1);

/// How a call to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A complete reply arrived.
    Replied(ReplyStatus),
    /// No complete reply arrived.
    Failed(CallFailure),
}

/// An ended call, as far as it concerns the state of its target.
#[derive(Clone, Copy, Debug)]
pub struct CallReport {
    /// The target.
    pub target: TargetKey,
    /// How the call ended.
    pub end: CallEnd,
    /// Time since the call was sent; `None` if the process was paused in between.
    pub elapsed: Option<Duration>,
    /// Whether the call had been cancelled.
    pub is_cancelled: bool,
    /// Whether the call was already counted as late.
    pub is_counted_late: bool,
    /// Calls in flight per slot of the target when the call was sent, itself included.
    pub calls_per_slot_count: u32,
}

/// Counts a call that was sent as in flight.
///
/// Returns the calls in flight per slot of the target, this one included, by which the latency of
/// the call is normalised.
pub fn record_call_sent(routes: &mut Routes, now: Instant, key: TargetKey) -> u32 {
    let Some(target) = routes.targets.get_mut(key) else {
        return 1;
    };
    target.in_flight_count += 1;
    reachability::record_call_sent(target, now);
    let calls_count = target
        .in_flight_count
        .saturating_add(target.others_in_flight_count);
    calls_count.div_ceil(target.slots_count.max(1))
}

/// Frees the connection of an ended call and updates the state of its target.
pub fn record_call_end(
    routes: &mut Routes,
    now: Instant,
    report: &CallReport,
    out: &mut Vec<Effect>,
) {
    let ramp_success_count = routes.settings.ramp_success_count;
    let Some(target) = routes.targets.get_mut(report.target) else {
        return;
    };
    target.in_flight_count = target.in_flight_count.saturating_sub(1);
    let status = match report.end {
        CallEnd::Replied(status) => status,
        CallEnd::Failed(CallFailure::NotSent) => return,
        CallEnd::Failed(failure) => {
            reachability::record_call_failure(target, now, report.target, failure, out);
            return;
        }
    };
    reachability::record_reply(target, now);
    match status {
        ReplyStatus::Done | ReplyStatus::Failed if !report.is_cancelled => {}
        ReplyStatus::Shed => return cold_start::record_shed_call(target),
        _ => return,
    }
    let Some(elapsed) = report.elapsed else {
        return;
    };
    let service = target.service;
    let is_cold = target.cold_start.is_cold;
    update_mean_latency(target, elapsed);
    if !is_cold || !cold_start::has_warm_replica(routes, report.target) {
        record_service_latency(routes, service, elapsed);
    }
    let unqueued_latency = elapsed / report.calls_per_slot_count;
    if is_late(routes, service, unqueued_latency) {
        if !report.is_counted_late {
            cold_start::record_late_call(routes, report.target);
        }
        return;
    }
    // While a target is cold, its replies are slow long before they count as late, so a slow reply
    // is no success.
    if is_cold && is_slow(routes, service, unqueued_latency) {
        return;
    }
    let Some(target) = routes.targets.get_mut(report.target) else {
        return;
    };
    cold_start::record_success(target, ramp_success_count);
}

/// Counts a call in flight as late and checks whether its target still replies.
pub fn record_late_call(routes: &mut Routes, now: Instant, key: TargetKey, out: &mut Vec<Effect>) {
    cold_start::record_late_call(routes, key);
    check_responsiveness(routes, now, key, out);
}

/// Returns whether a call of this age is late even allowing for the calls queued in front of it.
pub fn is_late_for_queue_depth(
    routes: &Routes,
    key: TargetKey,
    age: Duration,
    calls_per_slot_count: u32,
) -> bool {
    let target = routes.targets.get(key);
    target.is_some_and(|target| is_late(routes, target.service, age / calls_per_slot_count))
}

/// Marks a target with calls in flight as unreachable and probes it, if it has not replied for
/// long.
pub fn check_responsiveness(
    routes: &mut Routes,
    now: Instant,
    key: TargetKey,
    out: &mut Vec<Effect>,
) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    let service = routes.services.get(target.service);
    let Some(late_after) = service.and_then(|service| service.latency.late_after) else {
        return;
    };
    reachability::check_responsiveness(target, now, key, late_after, out);
}

/// Records the age of a late call that is being cancelled, as a lower bound of its latency.
pub fn record_cancelled_late_call(routes: &mut Routes, key: TargetKey, age: Duration) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    let service = target.service;
    update_mean_latency(target, age);
    if !routes.targets[key].cold_start.is_cold {
        record_service_latency(routes, service, age);
    }
}

/// Updates a target from its load report.
pub fn record_load_report(routes: &mut Routes, now: Instant, key: TargetKey, report: &LoadReport) {
    cold_start::record_load_report(routes, now, key, report);
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    target.oldest_snapshot = report.oldest_snapshot;
    target.newest_snapshot = report.newest_snapshot;
    let reported_count = report.running_count.saturating_add(report.queued_count);
    target.others_in_flight_count = reported_count.saturating_sub(target.in_flight_count);
    target.reported_at = Some(now);
}

/// Records that a target serves only the snapshot that it named when it declined a call.
pub fn record_served_snapshot(routes: &mut Routes, key: TargetKey, snapshot: Snapshot) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    target.oldest_snapshot = snapshot;
    target.newest_snapshot = snapshot;
}

/// Marks a target as reachable after its reply to a probe, and updates it from the load report.
pub fn record_probe_reply(routes: &mut Routes, now: Instant, key: TargetKey, report: &LoadReport) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    reachability::record_probe_reply(target, now);
    record_load_report(routes, now, key, report);
}

/// Marks a target as unreachable after a failed probe; shortly after a pause of the process it only
/// schedules another probe.
pub fn record_probe_failure(routes: &mut Routes, now: Instant, key: TargetKey) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    let is_in_grace = routes
        .resumed_at
        .is_some_and(|resumed_at| now < resumed_at + POST_PAUSE_GRACE);
    if is_in_grace {
        reachability::schedule_probe(target, now);
    } else {
        reachability::record_probe_failure(target, now);
    }
}

/// Records that the process was paused, so that probes which timed out in the meantime are
/// discounted.
pub fn on_pause(routes: &mut Routes, now: Instant) {
    routes.resumed_at = Some(now);
}

fn update_mean_latency(target: &mut Target, elapsed: Duration) {
    if target.mean_latency.is_zero() {
        target.mean_latency = elapsed;
        return;
    }
    let clipped = elapsed.min(target.mean_latency * MEAN_CLIP_FACTOR);
    target.mean_latency =
        (target.mean_latency * (MEAN_WEIGHT_DIVISOR - 1) + clipped) / MEAN_WEIGHT_DIVISOR;
}

fn record_service_latency(routes: &mut Routes, service: ServiceKey, elapsed: Duration) {
    let late_ratio = routes.settings.late_ratio;
    let Some(service) = routes.services.get_mut(service) else {
        return;
    };
    latency::record(&mut service.latency, elapsed, late_ratio);
}

/// Returns whether a call took longer than 1.5 times the median latency of its service.
fn is_slow(routes: &Routes, service: ServiceKey, elapsed: Duration) -> bool {
    let service = routes.services.get(service);
    service.is_some_and(|service| {
        let median = service.latency.median;
        !median.is_zero() && elapsed > median * SLOW_MEDIAN_HALVES / 2
    })
}

fn is_late(routes: &Routes, service: ServiceKey, elapsed: Duration) -> bool {
    let service = routes.services.get(service);
    service
        .and_then(|service| service.latency.late_after)
        .is_some_and(|late_after| elapsed > late_after)
}
