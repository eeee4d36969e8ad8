//! Cold start: how many calls a target bears, judged by its reports and by this instance's calls.
//!
//! Evidence only ever makes the instance more careful than the target's report, never less: a target
//! counts as cold if it says so, if its process is new, or if its calls are late while those of its
//! replicas are not. It becomes warm again only by calls that succeed in time.

use std::time::{Duration, Instant};

use model::{LoadReport, TargetKey, TargetPhase};
use serde::Serialize;

use crate::{Routes, Target, share::Division, share::part};

/// Late calls in a row after which a target counts as cold.
const LATE_MAX_COUNT: u32 = 5;
/// Calls without execution (shed, or no connection) in a row after which a target counts as cold.
const SHED_MAX_COUNT: u32 = 2;
/// Time for which a target must report to be warm before an instance without a part of its bearable
/// load tries a first call.
const REPORT_TRUST_DELAY: Duration = Duration::from_secs(5);

/// What is known about a target's cold start.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Warmth {
    /// Whether the target counts as cold.
    pub is_cold: bool,
    /// Concurrent calls earned by success, on top of this instance's part of the bearable load.
    pub earned_count: u32,
    /// Calls that succeeded in time since the last one was earned.
    pub success_count: u32,
    /// Late calls in a row.
    pub late_count: u32,
    /// Calls in a row that the target did not execute.
    pub shed_count: u32,
    /// Since when the target has reported to be warm.
    #[serde(skip)]
    pub warm_report_since: Option<Instant>,
}

/// Returns this instance's part of the load that a target bears in cold start.
pub(crate) fn cold_share(division: &Division, target: &Target) -> u32 {
    let reported_count = match target.phase {
        TargetPhase::Cold => target.reported_bearable_count,
        TargetPhase::Warm | TargetPhase::Draining => u32::MAX,
    };
    let bearable_count = target.cold_bearable_count.min(reported_count);
    part(
        bearable_count,
        division.instances_count,
        division.own_rank,
        target.offsets.cold_count,
    )
}

/// Returns how many calls this instance may have in flight to a target, by its warmth alone.
pub(crate) fn allowance(target: &Target) -> u32 {
    let warmth = &target.warmth;
    if !warmth.is_cold {
        return u32::MAX;
    }
    target.cold_share_count.saturating_add(warmth.earned_count)
}

/// Makes a target cold; whatever its calls had earned is lost.
pub(crate) fn turn_cold(target: &mut Target) {
    target.warmth = Warmth {
        is_cold: true,
        warm_report_since: target.warmth.warm_report_since,
        ..Warmth::default()
    };
}

/// Takes in a report: a new process or a reported cold start makes a target cold at once.
pub(crate) fn reported(routes: &mut Routes, now: Instant, key: TargetKey, report: &LoadReport) {
    let division = routes.division;
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    let is_first = target.incarnation == 0;
    let is_new_process = !is_first && target.incarnation != report.incarnation;
    target.incarnation = report.incarnation;
    target.phase = report.phase;
    target.reported_bearable_count = report.bearable_count;
    if is_new_process || (report.phase == TargetPhase::Cold && !target.warmth.is_cold) {
        turn_cold(target);
    }
    if report.phase == TargetPhase::Warm {
        target.warmth.warm_report_since.get_or_insert(now);
    } else {
        target.warmth.warm_report_since = None;
        target.warmth.earned_count = 0;
    }
    let cold_count = cold_share(&division, target);
    if !division.is_growing || cold_count < target.cold_share_count {
        target.cold_share_count = cold_count;
    }
}

/// Takes in a call that was executed in time.
pub(crate) fn succeeded(target: &mut Target, ramp_success_count: u32) {
    let warmth = &mut target.warmth;
    warmth.late_count = 0;
    warmth.shed_count = 0;
    if !warmth.is_cold || target.phase != TargetPhase::Warm {
        return;
    }
    warmth.success_count += 1;
    if warmth.success_count < ramp_success_count {
        return;
    }
    warmth.success_count = 0;
    warmth.earned_count += 1;
    let allowed_count = target.cold_share_count + warmth.earned_count;
    if allowed_count >= 2 * target.slots_count {
        target.warmth = Warmth {
            warm_report_since: warmth.warm_report_since,
            ..Warmth::default()
        };
    }
}

/// Takes in a late call.
///
/// Lateness alone turns a target cold only if a replica is warm: if all are late, the work itself
/// has become slower, and less load would not help.
pub(crate) fn was_late(routes: &mut Routes, key: TargetKey) {
    let has_warm_replica = has_other_warm(routes, key);
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    let warmth = &mut target.warmth;
    warmth.late_count += 1;
    if warmth.is_cold {
        warmth.earned_count = warmth.earned_count.saturating_sub(1);
        warmth.success_count = 0;
        return;
    }
    if warmth.late_count >= LATE_MAX_COUNT && has_warm_replica {
        turn_cold(target);
    }
}

/// Takes in a call that the target did not execute because it is overloaded.
pub(crate) fn was_shed(target: &mut Target) {
    let warmth = &mut target.warmth;
    warmth.shed_count += 1;
    if warmth.is_cold || warmth.shed_count >= SHED_MAX_COUNT {
        turn_cold(target);
    }
}

/// Lets an instance without a part of a cold target's bearable load try a first call, once the
/// target has reported to be warm for long enough.
pub(crate) fn trust_old_report(target: &mut Target, now: Instant) {
    let warmth = &mut target.warmth;
    let is_stuck = warmth.is_cold && target.cold_share_count + warmth.earned_count == 0;
    let trusts = warmth
        .warm_report_since
        .is_some_and(|since| now >= since + REPORT_TRUST_DELAY);
    if is_stuck && trusts {
        warmth.earned_count = 1;
    }
}

/// Tells whether a replica of the target is warm and can be reached.
pub(crate) fn has_other_warm(routes: &Routes, key: TargetKey) -> bool {
    let Some(target) = routes.targets.get(key) else {
        return false;
    };
    let Some(service) = routes.services.get(target.service) else {
        return false;
    };
    service.targets.iter().any(|&other| {
        let replica = &routes.targets[other];
        other != key && !replica.warmth.is_cold && !replica.reach.is_unreachable
    })
}
