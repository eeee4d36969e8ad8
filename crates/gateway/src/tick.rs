//! The regular work: unwanted attempts, targets that have gone, and the number of instances.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{AttemptKey, Effect, TargetKey};

use crate::{Gateway, end::send_waiting, health};

/// Time that an unwanted attempt has to end until its connection is dropped.
///
/// Targets stop within half a second of a caller's leaving only if their connection is closed.
const UNWANTED_GRACE: Duration = Duration::from_millis(250);

/// The same for requests that run at most once, which are left to run to their end: longer than
/// any target works on one.
const UNWANTED_ONCE_GRACE: Duration = Duration::from_secs(10);

/// Least time without any reply of a target after which it counts as down; usual pauses are shorter.
const SILENT_MIN: Duration = Duration::from_millis(280);
/// The same as a multiple of the time after which its reply is late.
const SILENT_FACTOR: u32 = 4;

/// Drops the connections of unwanted attempts that do not end, and serves parts that wait.
pub fn tick(gateway: &mut Gateway, now: Instant, out: &mut Vec<Effect>) {
    let attempts = gateway.attempts.iter();
    let overdue = attempts.filter(|(_, attempt)| {
        let grace = match attempt.is_idempotent {
            true => UNWANTED_GRACE,
            false => UNWANTED_ONCE_GRACE,
        };
        let since = attempt.unwanted_since;
        since.is_some_and(|since| now >= since + grace)
    });
    let overdue: Vec<AttemptKey> = overdue.map(|(key, _)| key).collect();
    for key in overdue {
        drop_attempt(gateway, now, key, out);
    }
    let gone = catalog::expire(&mut gateway.catalog, now);
    targets_gone(gateway, &gone, out);
    gateway
        .usage
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

/// Notes this instance's part of the limits, and the larger instances of its zone.
pub fn set_fleet(gateway: &mut Gateway, share_ratio: Option<f64>, larger: Vec<SocketAddr>) {
    gateway.share_ratio = share_ratio;
    gateway.larger = larger;
}

fn drop_attempt(gateway: &mut Gateway, now: Instant, key: AttemptKey, out: &mut Vec<Effect>) {
    let Some(attempt) = gateway.attempts.remove(key) else {
        return;
    };
    if let Some(health) = gateway.health.get_mut(attempt.target) {
        health.running.retain(|&running| running != key);
        let has_replied = health.replied_at.is_some_and(|at| at > attempt.sent_at);
        let is_trusted = gateway.resumed_at.is_none_or(|at| attempt.sent_at >= at);
        let silent_after = (attempt.late_at - attempt.sent_at) * SILENT_FACTOR;
        let is_silent = now >= attempt.sent_at + silent_after.max(SILENT_MIN);
        if is_trusted && !has_replied && is_silent {
            health::unreachable(health, now);
        }
    }
    out.push(Effect::DropAttempt {
        attempt: key,
        target: attempt.target,
    });
}
