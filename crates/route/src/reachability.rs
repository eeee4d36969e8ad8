//! Reachability of targets, and the probes that determine it.

use std::time::{Duration, Instant};

use model::{CallFailure, Effect, TargetKey};
use serde::Serialize;

use crate::{Routes, Target, cold_start};

/// Consecutive failed calls after which a target counts as unreachable.
const FAILED_CALLS_MAX_COUNT: u32 = 3;
/// Delay before the first probe of an unreachable target; it doubles with every failed probe.
const PROBE_DELAY: Duration = Duration::from_millis(200);
/// Upper bound of the delay between two probes of an unreachable target.
const PROBE_DELAY_MAX: Duration = Duration::from_secs(2);
/// A target with calls in flight counts as unresponsive if it has not replied for this many times
/// the latency beyond which a call is late.
const UNRESPONSIVE_LATENCY_FACTOR: u32 = 10;
/// Shortest time without a reply after which a target counts as unresponsive.
const UNRESPONSIVE_MIN: Duration = Duration::from_millis(50);
/// Time after which a probe that has neither succeeded nor failed is repeated.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reachability of a target.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Reachability {
    /// Whether the target receives no calls until it replies to a probe.
    pub is_unreachable: bool,
    /// Consecutive calls that failed without a complete reply.
    #[serde(rename = "lost_count")]
    pub failed_calls_count: u32,
    /// Consecutive probes that failed.
    pub failed_probes_count: u32,
    /// When the pending probe was sent; `None` if none is pending.
    #[serde(skip)]
    pub probe_sent_at: Option<Instant>,
    /// When the next probe is due, if one is scheduled; otherwise only an idle target is probed.
    #[serde(skip)]
    pub next_probe_at: Option<Instant>,
    /// Since when calls have been in flight without any reply.
    #[serde(skip)]
    pub unanswered_since: Option<Instant>,
    /// When the target last replied to a call or a probe.
    #[serde(skip)]
    pub last_reply_at: Option<Instant>,
}

/// Returns whether every target has sent a load report or failed a probe.
pub fn has_probed_every_target(routes: &Routes) -> bool {
    let mut targets = routes.targets.values();
    targets.all(|target| target.incarnation != 0 || target.reachability.failed_probes_count > 0)
}

/// Records that a target sent a complete reply.
pub(crate) fn record_reply(target: &mut Target, now: Instant) {
    target.reachability.last_reply_at = Some(now);
    target.reachability.unanswered_since = (target.in_flight_count > 0).then_some(now);
    target.reachability.failed_calls_count = 0;
}

/// Records the time of a call that was sent, if no earlier one is without a reply.
pub(crate) fn record_call_sent(target: &mut Target, now: Instant) {
    target.reachability.unanswered_since.get_or_insert(now);
}

/// Marks a target that accepts calls but does not reply to any as unreachable, and probes it.
pub(crate) fn check_responsiveness(
    target: &mut Target,
    now: Instant,
    key: TargetKey,
    late_after: Duration,
    out: &mut Vec<Effect>,
) {
    let limit = (late_after * UNRESPONSIVE_LATENCY_FACTOR).max(UNRESPONSIVE_MIN);
    let is_unresponsive = target
        .reachability
        .unanswered_since
        .is_some_and(|since| now >= since + limit);
    if !is_unresponsive || target.reachability.is_unreachable {
        return;
    }
    mark_unreachable(target, now);
    if target.reachability.probe_sent_at.is_none() {
        send_probe(target, now, key, out);
    }
}

/// Records that a call ended without a complete reply.
///
/// A refused connection means that no process listens on the port, so the target is unreachable at
/// once. A lost connection may be caused by the call itself, so the target is probed and becomes
/// unreachable only after several failures in a row.
pub(crate) fn record_call_failure(
    target: &mut Target,
    now: Instant,
    key: TargetKey,
    failure: CallFailure,
    out: &mut Vec<Effect>,
) {
    target.reachability.failed_calls_count += 1;
    let is_refused = failure == CallFailure::ConnectRefused;
    if is_refused || target.reachability.failed_calls_count >= FAILED_CALLS_MAX_COUNT {
        mark_unreachable(target, now);
    }
    if target.reachability.probe_sent_at.is_none() && !target.reachability.is_unreachable {
        send_probe(target, now, key, out);
    }
}

/// Records the reply to a probe, which makes the target reachable.
///
/// The reply does not reset the count of failed calls, because it does not show that calls succeed:
/// a target whose calls keep failing then loses only one call per probe.
pub(crate) fn record_probe_reply(target: &mut Target, now: Instant) {
    target.reachability = Reachability {
        last_reply_at: Some(now),
        failed_calls_count: target.reachability.failed_calls_count,
        unanswered_since: (target.in_flight_count > 0).then_some(now),
        ..Reachability::default()
    };
}

/// Records that a probe failed, which makes the target unreachable.
pub(crate) fn record_probe_failure(target: &mut Target, now: Instant) {
    target.reachability.probe_sent_at = None;
    target.reachability.failed_probes_count =
        target.reachability.failed_probes_count.saturating_add(1);
    mark_unreachable(target, now);
}

/// Discards the pending probe without counting it, and schedules another one for the next tick.
pub(crate) fn schedule_probe(target: &mut Target, now: Instant) {
    target.reachability.probe_sent_at = None;
    target.reachability.next_probe_at = Some(now);
}

/// Sends the probes that are due, to unreachable targets and to those without traffic.
pub(crate) fn send_due_probes(routes: &mut Routes, now: Instant, out: &mut Vec<Effect>) {
    let probe_idle = routes.settings.probe_idle;
    for (key, target) in &mut routes.targets {
        let reachability = &target.reachability;
        let is_pending = reachability
            .probe_sent_at
            .is_some_and(|at| now < at + PROBE_TIMEOUT);
        let is_idle = reachability
            .last_reply_at
            .is_none_or(|at| now >= at + probe_idle);
        let is_due = match reachability.next_probe_at {
            Some(due) => now >= due,
            None => is_idle,
        };
        if is_due && !is_pending && target.share_count > 0 {
            send_probe(target, now, key, out);
        }
    }
}

fn mark_unreachable(target: &mut Target, now: Instant) {
    if !target.reachability.is_unreachable {
        cold_start::enter_cold_start(target);
    }
    target.reachability.is_unreachable = true;
    let doublings = target.reachability.failed_probes_count.min(4);
    let delay = PROBE_DELAY * 2_u32.pow(doublings);
    target.reachability.next_probe_at = Some(now + delay.min(PROBE_DELAY_MAX));
}

fn send_probe(target: &mut Target, now: Instant, key: TargetKey, out: &mut Vec<Effect>) {
    target.reachability.probe_sent_at = Some(now);
    out.push(Effect::ProbeLoad {
        target: key,
        connections_count: 1,
    });
}
