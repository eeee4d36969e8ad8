//! Whether a target can be reached, and the probes that find out.

use std::time::{Duration, Instant};

use model::{CallFailure, Effect, TargetKey};
use serde::Serialize;

use crate::{Routes, Target, warmth};

/// Connections lost in a row after which a target counts as unreachable.
const LOST_MAX_COUNT: u32 = 3;
/// Delay before the first probe of an unreachable target; it doubles with every failure.
const PROBE_DELAY: Duration = Duration::from_millis(200);
/// Longest delay between two probes of an unreachable target.
const PROBE_DELAY_MAX: Duration = Duration::from_secs(2);
/// A target with calls in flight is asked whether it still replies after this many times the time in
/// which most calls end.
const SILENCE_FACTOR: u32 = 10;
/// Shortest silence after which a target is asked whether it still replies.
const SILENCE_MIN: Duration = Duration::from_millis(50);
/// Time after which a probe without an answer is repeated.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// What is known about reaching a target.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Reach {
    /// Whether calls are pointless until a probe is answered.
    pub is_unreachable: bool,
    /// Connections lost in a row.
    pub lost_count: u32,
    /// Probes that failed in a row.
    pub failed_probes_count: u32,
    /// When a probe was sent whose end is not known yet.
    #[serde(skip)]
    pub probed_at: Option<Instant>,
    /// When the next probe is due, if the target is unreachable.
    #[serde(skip)]
    pub probe_due: Option<Instant>,
    /// Since when the target owes a reply without having sent any.
    #[serde(skip)]
    pub silent_since: Option<Instant>,
    /// When the target was last heard of.
    #[serde(skip)]
    pub heard_at: Option<Instant>,
}

/// Tells whether every target has answered a probe or failed to.
pub fn is_every_target_asked(routes: &Routes) -> bool {
    let mut targets = routes.targets.values();
    targets.all(|target| target.incarnation != 0 || target.reach.failed_probes_count > 0)
}

/// Notes a whole reply.
pub(crate) fn heard(target: &mut Target, now: Instant) {
    target.reach.heard_at = Some(now);
    target.reach.silent_since = (target.in_flight_count > 0).then_some(now);
    target.reach.lost_count = 0;
}

/// Notes that a call was sent.
pub(crate) fn called(target: &mut Target, now: Instant) {
    target.reach.silent_since.get_or_insert(now);
}

/// Stops the use of a target that accepts calls but does not reply to any, and asks it for its load.
pub(crate) fn check_silence(
    target: &mut Target,
    now: Instant,
    key: TargetKey,
    late_after: Duration,
    out: &mut Vec<Effect>,
) {
    let limit = (late_after * SILENCE_FACTOR).max(SILENCE_MIN);
    let is_silent = target
        .reach
        .silent_since
        .is_some_and(|since| now >= since + limit);
    if !is_silent || target.reach.is_unreachable {
        return;
    }
    mark_unreachable(target, now);
    if target.reach.probed_at.is_none() {
        probe(target, now, key, out);
    }
}

/// Notes that a call got no whole reply.
///
/// A refused connection means that no process listens. A lost one may be the fault of the call, so
/// the target is asked, and only several in a row count against it.
pub(crate) fn call_failed(
    target: &mut Target,
    now: Instant,
    key: TargetKey,
    failure: CallFailure,
    out: &mut Vec<Effect>,
) {
    target.reach.lost_count += 1;
    let is_refused = failure == CallFailure::ConnectRefused;
    if is_refused || target.reach.lost_count >= LOST_MAX_COUNT {
        mark_unreachable(target, now);
    }
    if target.reach.probed_at.is_none() && !target.reach.is_unreachable {
        probe(target, now, key, out);
    }
}

/// Notes that a probe was answered.
///
/// That says nothing about calls, so only a reply to a call ends the count of lost ones: a target
/// whose calls keep failing costs one call for each probe.
pub(crate) fn probe_answered(target: &mut Target, now: Instant) {
    target.reach = Reach {
        heard_at: Some(now),
        lost_count: target.reach.lost_count,
        silent_since: (target.in_flight_count > 0).then_some(now),
        ..Reach::default()
    };
}

/// Notes that a probe was not answered.
pub(crate) fn probe_failed(target: &mut Target, now: Instant) {
    target.reach.probed_at = None;
    target.reach.failed_probes_count = target.reach.failed_probes_count.saturating_add(1);
    mark_unreachable(target, now);
}

/// Forgets a probe whose end says nothing, and lets the next tick send another one.
pub(crate) fn ask_again(target: &mut Target, now: Instant) {
    target.reach.probed_at = None;
    target.reach.probe_due = Some(now);
}

/// Sends the probes that are due: to targets that cannot be reached, and to those without traffic.
pub(crate) fn probe_due(routes: &mut Routes, now: Instant, out: &mut Vec<Effect>) {
    let probe_idle = routes.limits.probe_idle;
    for (key, target) in &mut routes.targets {
        let reach = &target.reach;
        let is_pending = reach.probed_at.is_some_and(|at| now < at + PROBE_TIMEOUT);
        let is_idle = reach.heard_at.is_none_or(|at| now >= at + probe_idle);
        let is_due = match reach.probe_due {
            Some(due) => now >= due,
            None => is_idle,
        };
        if is_due && !is_pending && target.share_count > 0 {
            probe(target, now, key, out);
        }
    }
}

fn mark_unreachable(target: &mut Target, now: Instant) {
    if !target.reach.is_unreachable {
        warmth::turn_cold(target);
    }
    target.reach.is_unreachable = true;
    let doublings = target.reach.failed_probes_count.min(4);
    let delay = PROBE_DELAY * 2_u32.pow(doublings);
    target.reach.probe_due = Some(now + delay.min(PROBE_DELAY_MAX));
}

fn probe(target: &mut Target, now: Instant, key: TargetKey, out: &mut Vec<Effect>) {
    target.reach.probed_at = Some(now);
    out.push(Effect::AskLoad {
        target: key,
        connections_count: 1,
    });
}
