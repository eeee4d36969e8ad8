//! Periodic work: abandoned attempts, silent and expired targets, and data about other instances.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{AttemptKey, Effect, TargetKey};

use crate::{
    Gateway,
    completion::send_queued_parts,
    health, isolation, load,
    log_line::{elapsed_ms, target_log_line},
    rate_limit,
    rate_limit::ShareHolders,
    unresolved,
};

/// Time that an abandoned attempt has to end before its connection is closed.
///
/// Closing the connection is what makes the target stop, which it has to do within 500 ms of a
/// caller's disconnect.
const ABANDONED_GRACE: Duration = Duration::from_millis(250);

/// The same for requests that are not idempotent, which are left to run to their end: longer than
/// any target takes for one.
const ABANDONED_NON_IDEMPOTENT_GRACE: Duration = Duration::from_secs(10);

/// Minimum time without any reply of a target after which it counts as unreachable; typical pauses
/// of targets are shorter.
const SILENCE_TIMEOUT_MIN: Duration = Duration::from_millis(280);
/// Silence timeout as a multiple of the time after which a reply is late.
const SILENCE_TIMEOUT_FACTOR: u32 = 4;

/// Runs the periodic work: closes connections of overdue abandoned attempts, updates health and
/// isolation, removes expired targets and statistics of removed fronts, and sends queued parts.
pub fn tick(gateway: &mut Gateway, now: Instant, out: &mut Vec<Effect>) {
    let attempts = gateway.attempts.iter();
    let overdue = attempts.filter(|(_, attempt)| {
        let grace = match attempt.is_idempotent {
            true => ABANDONED_GRACE,
            false => ABANDONED_NON_IDEMPOTENT_GRACE,
        };
        let since = attempt.abandoned_since;
        since.is_some_and(|since| now >= since + grace)
    });
    let overdue: Vec<AttemptKey> = overdue.map(|(key, _)| key).collect();
    record_silent_targets(gateway, now, out);
    for key in overdue {
        drop_attempt(gateway, now, key, out);
    }
    unresolved::expire(gateway, now);
    load::refresh(gateway, now);
    rate_limit::update_shares(gateway, now);
    isolation::update(gateway, now, out);
    let expired = catalog::remove_expired_targets(&mut gateway.catalog, now);
    remove_targets(gateway, &expired, out);
    gateway
        .front_stats
        .retain(|front, _| gateway.catalog.fronts.contains_key(front));
    send_queued_parts(gateway, now, out);
}

/// Removes the health of targets that are no longer registered and closes their idle connections;
/// attempts in flight end by themselves.
pub fn remove_targets(gateway: &mut Gateway, removed: &[TargetKey], out: &mut Vec<Effect>) {
    for &target in removed {
        gateway.health.remove(target);
        out.push(Effect::Disconnect { target });
    }
}

/// Records that the process has resumed from a pause.
pub fn on_pause(gateway: &mut Gateway, now: Instant) {
    gateway.resumed_at = Some(now);
}

/// Data about the other instances that the gateway needs.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// This instance's share of the limits that all instances have in common, once known.
    pub share_ratio: Option<f64>,
    /// The instances that share the rate limits of targets.
    pub share_holders: ShareHolders,
    /// Peer addresses of larger instances of the same zone, which can run queries for this one.
    pub relay_candidates: Vec<SocketAddr>,
    /// Whether this instance has lost contact with the instances of all other zones.
    pub is_cut_off: bool,
}

/// Updates the data about the other instances.
pub fn set_fleet(gateway: &mut Gateway, fleet: Fleet) {
    gateway.share_ratio = fleet.share_ratio;
    gateway.share_holders = fleet.share_holders;
    gateway.relay_candidates = fleet.relay_candidates;
    gateway.is_cut_off = fleet.is_cut_off;
}

/// Puts targets in backoff that have not replied for much longer than their replies usually take.
///
/// Attempts sent before the process last resumed from a pause are ignored: their replies may have
/// arrived but not been read.
fn record_silent_targets(gateway: &mut Gateway, now: Instant, out: &mut Vec<Effect>) {
    let silent = gateway.attempts.iter().filter(|(_, attempt)| {
        let is_sent_since_resume = gateway.resumed_at.is_none_or(|at| attempt.sent_at >= at);
        let silence_timeout = (attempt.late_at - attempt.sent_at) * SILENCE_TIMEOUT_FACTOR;
        let is_silent = now >= attempt.sent_at + silence_timeout.max(SILENCE_TIMEOUT_MIN);
        !attempt.is_silence_noted && is_sent_since_resume && is_silent
    });
    let silent: Vec<AttemptKey> = silent.map(|(key, _)| key).collect();
    for key in silent {
        let attempt = &mut gateway.attempts[key];
        attempt.is_silence_noted = true;
        let Some(health) = gateway.health.get_mut(attempt.target) else {
            continue;
        };
        let has_replied = health.last_reply_at.is_some_and(|at| at > attempt.sent_at);
        if has_replied || health::is_in_backoff(health, now) {
            continue;
        }
        health::record_unreachable(health, now);
        let silent_ms = elapsed_ms(now, attempt.sent_at);
        let line = target_log_line(gateway, gateway.attempts[key].target, "target-silent");
        out.push(Effect::Log(line.with("silent_ms", silent_ms)));
    }
}

fn drop_attempt(gateway: &mut Gateway, now: Instant, key: AttemptKey, out: &mut Vec<Effect>) {
    let Some(attempt) = gateway.attempts.remove(key) else {
        return;
    };
    if let Some(health) = gateway.health.get_mut(attempt.target) {
        health.in_flight.retain(|&attempt| attempt != key);
    }
    unresolved::remember(gateway, now, &attempt);
    out.push(Effect::DropAttempt {
        attempt: key,
        target: attempt.target,
    });
}
