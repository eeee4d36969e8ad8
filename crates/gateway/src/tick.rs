//! The regular work: unwanted attempts, targets that have gone, and the number of instances.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{AttemptKey, Effect, TargetKey};

use crate::{
    Gateway, completion,
    completion::{send_waiting, target_log_line},
    health, isolation,
};

/// Time that an unwanted attempt has to end until its connection is dropped.
///
/// Targets stop within half a second of a caller's leaving only if their connection is closed.
const ABANDONED_GRACE: Duration = Duration::from_millis(250);

/// The same for requests that run at most once, which are left to run to their end: longer than
/// any target works on one.
const ABANDONED_NON_IDEMPOTENT_GRACE: Duration = Duration::from_secs(10);

/// Least time without any reply of a target after which it counts as down; usual pauses are shorter.
const SILENCE_TIMEOUT_MIN: Duration = Duration::from_millis(280);
/// The same as a multiple of the time after which its reply is late.
const SILENCE_TIMEOUT_FACTOR: u32 = 4;

/// Drops the connections of unwanted attempts that do not end, and serves parts that wait.
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
        drop_attempt(gateway, key, out);
    }
    isolation::update(gateway, now, out);
    let gone = catalog::expire(&mut gateway.catalog, now);
    targets_gone(gateway, &gone, out);
    gateway
        .front_stats
        .retain(|front, _| gateway.catalog.fronts.contains_key(front));
    send_waiting(gateway, now, out);
}

/// Forgets targets that are no longer registered. Their attempts end by themselves.
pub fn targets_gone(gateway: &mut Gateway, gone: &[TargetKey], out: &mut Vec<Effect>) {
    for &target in gone {
        gateway.health.remove(target);
        out.push(Effect::Disconnect { target });
    }
}

/// Notes that the process has woken up from a pause.
pub fn paused(gateway: &mut Gateway, now: Instant) {
    gateway.resumed_at = Some(now);
}

/// What the gateway has to know about the other instances.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// This instance's part of what all instances may use together, once that is known.
    pub share_ratio: Option<f64>,
    /// Larger instances of the zone, by their peers' ports.
    pub larger: Vec<SocketAddr>,
    /// Whether no instance of another zone is heard any more.
    pub is_cut_off: bool,
}

/// Takes in what is known about the other instances.
pub fn set_fleet(gateway: &mut Gateway, fleet: Fleet) {
    gateway.share_ratio = fleet.share_ratio;
    gateway.relay_candidates = fleet.larger;
    gateway.is_cut_off = fleet.is_cut_off;
}

/// Avoids targets from which nothing has come for much longer than a usual reply takes.
///
/// Silence while the process itself was paused says nothing.
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
        if has_replied || health::is_avoided(health, now) {
            continue;
        }
        health::record_unreachable(health, now);
        let silent_ms = completion::elapsed_ms(now, attempt.sent_at);
        let line = target_log_line(gateway, gateway.attempts[key].target, "target-silent");
        out.push(Effect::Log(line.with("silent_ms", silent_ms)));
    }
}

fn drop_attempt(gateway: &mut Gateway, key: AttemptKey, out: &mut Vec<Effect>) {
    let Some(attempt) = gateway.attempts.remove(key) else {
        return;
    };
    if let Some(health) = gateway.health.get_mut(attempt.target) {
        health.in_flight.retain(|&attempt| attempt != key);
    }
    out.push(Effect::DropAttempt {
        attempt: key,
        target: attempt.target,
    });
}
