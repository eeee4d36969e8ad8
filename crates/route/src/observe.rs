//! Learning about targets from calls and load reports.

use std::time::Instant;

use model::{CallFailure, LoadReport, ReplyStatus, TargetKey};

use crate::Routes;

/// How a call to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole reply arrived.
    Replied(ReplyStatus),
    /// No whole reply arrived.
    Failed(CallFailure),
}

/// Notes that a call was sent.
pub fn call_started(routes: &mut Routes, key: TargetKey) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    target.in_flight_count += 1;
}

/// Notes that a call ended, which frees its connection.
pub fn call_ended(routes: &mut Routes, _now: Instant, key: TargetKey, end: CallEnd) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    target.in_flight_count = target.in_flight_count.saturating_sub(1);
    match end {
        CallEnd::Replied(_) => target.is_unreachable = false,
        CallEnd::Failed(failure) => {
            target.is_unreachable = failure != CallFailure::NotSent;
        }
    }
}

/// Takes in a target's load report.
pub fn load_reported(routes: &mut Routes, key: TargetKey, report: &LoadReport) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    target.is_unreachable = false;
    target.phase = report.phase;
    target.incarnation = report.incarnation;
    target.oldest_snapshot = report.oldest_snapshot;
    target.newest_snapshot = report.newest_snapshot;
}

/// Notes that a target did not answer a load probe.
pub fn probe_failed(routes: &mut Routes, key: TargetKey) {
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    target.is_unreachable = true;
}
