//! Learning about targets from calls and load reports.

use std::time::{Duration, Instant};

use model::{CallFailure, Effect, LoadReport, ReplyStatus, ServiceKey, Snapshot, TargetKey};

use crate::{Routes, Target, latency, reach, warmth};

/// Weight of the newest call in a target's mean latency is one in this many.
const MEAN_WEIGHT: u32 = 8;
/// A single call moves the mean latency as if it took at most this many times the mean.
const MEAN_CLIP: u32 = 4;

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
    /// Whether it had to wait for a slot.
    pub is_queued: bool,
}

/// Notes that a call was sent.
///
/// Returns whether it has to wait for a slot, so that its latency says little about the target.
pub fn call_started(routes: &mut Routes, now: Instant, key: TargetKey) -> bool {
    let Some(target) = routes.targets.get_mut(key) else {
        return true;
    };
    target.in_flight_count += 1;
    reach::called(target, now);
    target.in_flight_count + target.foreign_count > target.slots_count
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
    if is_late(routes, service, took) {
        if !report.is_noted_late && !report.is_queued {
            warmth::was_late(routes, report.target);
        }
        return;
    }
    let Some(target) = routes.targets.get_mut(report.target) else {
        return;
    };
    warmth::succeeded(target, ramp_success_count);
}

/// Notes that a call in flight has become late.
pub fn call_late(
    routes: &mut Routes,
    now: Instant,
    key: TargetKey,
    is_queued: bool,
    out: &mut Vec<Effect>,
) {
    if !is_queued {
        warmth::was_late(routes, key);
    }
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
    reach::probe_failed(target, now);
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

fn is_late(routes: &Routes, service: ServiceKey, took: Duration) -> bool {
    let service = routes.services.get(service);
    service
        .and_then(|service| service.latency.late_after)
        .is_some_and(|late_after| took > late_after)
}
