//! Learning about targets from calls and load reports.

use std::time::{Duration, Instant};

use model::{CallFailure, Effect, LoadReport, ReplyStatus, ServiceKey, Snapshot, TargetKey};

use crate::{Routes, Target, latency, reach, warmth};

/// Weight of the newest call in a target's mean latency is one in this many.
const MEAN_WEIGHT: u32 = 8;
/// A single call moves the mean latency as if it took at most this many times the mean.
const MEAN_CLIP: u32 = 4;

/// A call is slow if it takes more than this many halves of the median of its service.
const SLOW_HALVES: u32 = 3;

/// Time after a pause of the process during which failed probes say nothing about their targets: a
/// probe that was under way has run into its timeout meanwhile.
const RESUME_DOUBT: Duration = Duration::from_secs(1);

/// How a call to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole reply arrived.
    Replied(ReplyStatus),
    /// No whole reply arrived.
    Failed(CallFailure),
}

/// What the end of a call tells about its target.
#[derive(Clone, Copy, Debug)]
pub struct CallReport {
    /// The target.
    pub target: TargetKey,
    /// How the call ended.
    pub end: CallEnd,
    /// Time since it was sent; `None` if a pause of the process makes the time worthless.
    pub took: Option<Duration>,
    /// Whether the call had been cancelled.
    pub is_cancelled: bool,
    /// Whether it was already noted as late.
    pub is_noted_late: bool,
    /// Calls that each slot of the target had when it was sent.
    pub calls_per_slot_count: u32,
}

/// Notes that a call was sent.
///
/// Returns how many calls each slot of the target has with it, so that its latency can be judged.
pub fn call_started(routes: &mut Routes, now: Instant, key: TargetKey) -> u32 {
    let Some(target) = routes.targets.get_mut(key) else {
        return 1;
    };
    target.in_flight_count += 1;
    reach::called(target, now);
    let calls_count = target.in_flight_count + target.foreign_count;
    calls_count.div_ceil(target.slots_count.max(1))
}

/// Notes that a call ended, which frees its connection.
pub fn call_ended(routes: &mut Routes, now: Instant, report: &CallReport, out: &mut Vec<Effect>) {
    let ramp_success_count = routes.limits.ramp_success_count;
    let Some(target) = routes.targets.get_mut(report.target) else {
        return;
    };
    target.in_flight_count = target.in_flight_count.saturating_sub(1);
    let status = match report.end {
        CallEnd::Replied(status) => status,
        CallEnd::Failed(CallFailure::NotSent) => return,
        CallEnd::Failed(failure) => {
            reach::call_failed(target, now, report.target, failure, out);
            return;
        }
    };
    reach::heard(target, now);
    match status {
        ReplyStatus::Done | ReplyStatus::Failed if !report.is_cancelled => {}
        ReplyStatus::Shed => return warmth::was_shed(target),
        _ => return,
    }
    let Some(took) = report.took else { return };
    let service = target.service;
    let is_cold = target.warmth.is_cold;
    learn_mean(target, took);
    if !is_cold || !warmth::has_other_warm(routes, report.target) {
        learn_latency(routes, service, took);
    }
    let in_own_place = took / report.calls_per_slot_count;
    if is_late(routes, service, in_own_place) {
        if !report.is_noted_late {
            warmth::was_late(routes, report.target);
        }
        return;
    }
    // A target that is still cold answers slowly long before it answers late.
    if is_cold && is_slow(routes, service, in_own_place) {
        return;
    }
    let Some(target) = routes.targets.get_mut(report.target) else {
        return;
    };
    warmth::succeeded(target, ramp_success_count);
}

/// Notes that a call in flight has become late.
pub fn call_late(routes: &mut Routes, now: Instant, key: TargetKey, out: &mut Vec<Effect>) {
    warmth::was_late(routes, key);
    check_silence(routes, now, key, out);
}

/// Tells whether a call of some age is late even if it waited behind others for a slot.
pub fn is_late_for_its_place(
    routes: &Routes,
    key: TargetKey,
    age: Duration,
    calls_per_slot_count: u32,
) -> bool {
    let target = routes.targets.get(key);
    target.is_some_and(|target| is_late(routes, target.service, age / calls_per_slot_count))
}

/// Asks a target that owes replies and sends none whether it still works.
pub fn check_silence(routes: &mut Routes, now: Instant, key: TargetKey, out: &mut Vec<Effect>) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    let service = routes.services.get(target.service);
    let Some(late_after) = service.and_then(|service| service.latency.late_after) else {
        return;
    };
    reach::check_silence(target, now, key, late_after, out);
}

/// Takes in the age of a call that was cancelled because another one was faster.
pub fn call_outrun(routes: &mut Routes, key: TargetKey, age: Duration) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    let service = target.service;
    learn_mean(target, age);
    if !routes.targets[key].warmth.is_cold {
        learn_latency(routes, service, age);
    }
}

/// Takes in a target's load report.
pub fn load_reported(routes: &mut Routes, now: Instant, key: TargetKey, report: &LoadReport) {
    warmth::reported(routes, now, key, report);
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    target.oldest_snapshot = report.oldest_snapshot;
    target.newest_snapshot = report.newest_snapshot;
    let reported_count = report.running_count.saturating_add(report.queued_count);
    target.foreign_count = reported_count.saturating_sub(target.in_flight_count);
    target.reported_at = Some(now);
}

/// Takes in the one snapshot that a target says it serves.
pub fn serves_only(routes: &mut Routes, key: TargetKey, snapshot: Snapshot) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    target.oldest_snapshot = snapshot;
    target.newest_snapshot = snapshot;
}

/// Takes in a target's answer to a load probe.
pub fn probe_answered(routes: &mut Routes, now: Instant, key: TargetKey, report: &LoadReport) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    reach::probe_answered(target, now);
    load_reported(routes, now, key, report);
}

/// Notes that a target did not answer a load probe.
pub fn probe_failed(routes: &mut Routes, now: Instant, key: TargetKey) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    let is_in_doubt = routes
        .resumed_at
        .is_some_and(|resumed_at| now < resumed_at + RESUME_DOUBT);
    if is_in_doubt {
        reach::ask_again(target, now);
    } else {
        reach::probe_failed(target, now);
    }
}

/// Notes that the process was paused: what was under way has failed because nobody attended to it.
pub fn paused(routes: &mut Routes, now: Instant) {
    routes.resumed_at = Some(now);
}

fn learn_mean(target: &mut Target, took: Duration) {
    if target.mean_latency.is_zero() {
        target.mean_latency = took;
        return;
    }
    let clipped = took.min(target.mean_latency * MEAN_CLIP);
    target.mean_latency = (target.mean_latency * (MEAN_WEIGHT - 1) + clipped) / MEAN_WEIGHT;
}

fn learn_latency(routes: &mut Routes, service: ServiceKey, took: Duration) {
    let late_ratio = routes.limits.late_ratio;
    let Some(service) = routes.services.get_mut(service) else {
        return;
    };
    latency::record(&mut service.latency, took, late_ratio);
}

/// Tells whether a call took much longer than most calls of its service.
fn is_slow(routes: &Routes, service: ServiceKey, took: Duration) -> bool {
    let service = routes.services.get(service);
    service.is_some_and(|service| {
        let median = service.latency.median;
        !median.is_zero() && took > median * SLOW_HALVES / 2
    })
}

fn is_late(routes: &Routes, service: ServiceKey, took: Duration) -> bool {
    let service = routes.services.get(service);
    service
        .and_then(|service| service.latency.late_after)
        .is_some_and(|late_after| took > late_after)
}
