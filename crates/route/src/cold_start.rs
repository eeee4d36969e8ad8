//! Cold start: limits the calls to a cold target, by its load reports and by this instance's calls.
//!
//! This instance's observations may make it more cautious than the target's reports suggest, but
//! never less. A target becomes cold if it reports so, if its process is new, if it becomes
//! unreachable or sheds calls, if its zone or the target itself returns to service, or if its calls
//! are late while another replica is warm. It becomes warm again only through calls that succeed
//! without being late.

use std::time::{Duration, Instant};

use model::{LoadReport, TargetKey, TargetPhase};
use serde::Serialize;

use crate::{Routes, Target, share::Division, share::rank_share};

/// Consecutive late calls after which a target counts as cold.
const LATE_CALLS_MAX_COUNT: u32 = 5;
/// Consecutive shed calls after which a target counts as cold.
const SHED_CALLS_MAX_COUNT: u32 = 2;
/// Time for which a target must have reported to be warm before an instance whose share of its
/// cold-start limit is 0 may send a first call.
const TRIAL_CALL_DELAY: Duration = Duration::from_secs(5);

/// Cold-start state of a target.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct ColdStart {
    /// Whether the target counts as cold.
    pub is_cold: bool,
    /// Concurrent calls permitted on top of this instance's share of the cold-start limit: gained
    /// by successful calls or granted as a trial call, and lost by late calls.
    pub earned_count: u32,
    /// Successful calls since `earned_count` was last raised or a call was late.
    pub success_count: u32,
    /// Consecutive late calls.
    pub late_count: u32,
    /// Shed calls since the last successful one.
    pub shed_count: u32,
    /// Since when every load report has stated the warm phase.
    #[serde(skip)]
    pub warm_report_since: Option<Instant>,
}

/// Returns this instance's share of a target's cold-start limit.
///
/// The limit is the configured one, or the reported one if that is lower and the target is cold.
pub(crate) fn cold_share(division: &Division, target: &Target) -> u32 {
    let reported_count = match target.phase {
        TargetPhase::Cold => target.reported_bearable_count,
        TargetPhase::Warm | TargetPhase::Draining => u32::MAX,
    };
    let bearable_count = target.cold_bearable_count.min(reported_count);
    rank_share(
        bearable_count,
        division.instances_count,
        division.own_rank,
        target.offsets.cold_count,
    )
}

/// Returns how many calls this instance may have in flight to a cold target: its share of the
/// cold-start limit plus the earned calls. A warm target has no such limit.
pub(crate) fn ramp_limit(target: &Target) -> u32 {
    let cold_start = &target.cold_start;
    if !cold_start.is_cold {
        return u32::MAX;
    }
    target
        .cold_share_count
        .saturating_add(cold_start.earned_count)
}

/// Makes a target cold and resets its counters, so that earned calls are lost.
pub(crate) fn enter_cold_start(target: &mut Target) {
    target.cold_start = ColdStart {
        is_cold: true,
        warm_report_since: target.cold_start.warm_report_since,
        ..ColdStart::default()
    };
}

/// Updates the state from a load report.
///
/// A new process or a reported cold phase makes the target cold at once. A report of any phase but
/// the warm one takes back the earned calls.
pub(crate) fn record_load_report(
    routes: &mut Routes,
    now: Instant,
    key: TargetKey,
    report: &LoadReport,
) {
    let division = routes.division;
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    let is_first = target.incarnation == 0;
    let is_new_process = !is_first && target.incarnation != report.incarnation;
    target.incarnation = report.incarnation;
    target.phase = report.phase;
    target.reported_bearable_count = report.bearable_count;
    if is_new_process || (report.phase == TargetPhase::Cold && !target.cold_start.is_cold) {
        enter_cold_start(target);
    }
    if report.phase == TargetPhase::Warm {
        target.cold_start.warm_report_since.get_or_insert(now);
    } else {
        target.cold_start.warm_report_since = None;
        target.cold_start.earned_count = 0;
    }
    let cold_count = cold_share(&division, target);
    if !division.is_growing || cold_count < target.cold_share_count {
        target.cold_share_count = cold_count;
    }
}

/// Counts a call that was executed without being late or slow.
///
/// Every `ramp_success_count` successes raise the permitted concurrency of a cold target by one.
/// The target becomes warm when this reaches twice its slots.
pub(crate) fn record_success(target: &mut Target, ramp_success_count: u32) {
    let cold_start = &mut target.cold_start;
    cold_start.late_count = 0;
    cold_start.shed_count = 0;
    if !cold_start.is_cold || target.phase != TargetPhase::Warm {
        return;
    }
    cold_start.success_count += 1;
    if cold_start.success_count < ramp_success_count {
        return;
    }
    cold_start.success_count = 0;
    cold_start.earned_count += 1;
    let allowed_count = target.cold_share_count + cold_start.earned_count;
    if allowed_count >= 2 * target.slots_count {
        target.cold_start = ColdStart {
            warm_report_since: cold_start.warm_report_since,
            ..ColdStart::default()
        };
    }
}

/// Counts a late call.
///
/// Late calls make a target cold only if another replica is warm. If all replicas are late, the
/// calls themselves have become slower, and less load would not help.
pub(crate) fn record_late_call(routes: &mut Routes, key: TargetKey) {
    let has_warm_replica = has_warm_replica(routes, key);
    let Some(target) = routes.targets.get_mut(key) else {
        return;
    };
    let cold_start = &mut target.cold_start;
    cold_start.late_count += 1;
    if cold_start.is_cold {
        cold_start.earned_count = cold_start.earned_count.saturating_sub(1);
        cold_start.success_count = 0;
        return;
    }
    if cold_start.late_count >= LATE_CALLS_MAX_COUNT && has_warm_replica {
        enter_cold_start(target);
    }
}

/// Counts a call that the target shed because it is overloaded.
pub(crate) fn record_shed_call(target: &mut Target) {
    let cold_start = &mut target.cold_start;
    cold_start.shed_count += 1;
    if cold_start.is_cold || cold_start.shed_count >= SHED_CALLS_MAX_COUNT {
        enter_cold_start(target);
    }
}

/// Permits a first call to a cold target whose cold-start limit leaves this instance no share, once
/// the target has reported to be warm for [`TRIAL_CALL_DELAY`].
pub(crate) fn grant_trial_call(target: &mut Target, now: Instant) {
    let cold_start = &mut target.cold_start;
    let is_without_allowance =
        cold_start.is_cold && target.cold_share_count + cold_start.earned_count == 0;
    let is_trusted = cold_start
        .warm_report_since
        .is_some_and(|since| now >= since + TRIAL_CALL_DELAY);
    if is_without_allowance && is_trusted {
        cold_start.earned_count = 1;
    }
}

/// Returns whether another replica of the target's service is warm and reachable.
pub(crate) fn has_warm_replica(routes: &Routes, key: TargetKey) -> bool {
    let Some(target) = routes.targets.get(key) else {
        return false;
    };
    let Some(service) = routes.services.get(target.service) else {
        return false;
    };
    service.targets.iter().any(|&other| {
        let replica = &routes.targets[other];
        other != key && !replica.cold_start.is_cold && !replica.reachability.is_unreachable
    })
}
