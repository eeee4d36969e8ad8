//! The regular work: unwanted attempts, targets that have gone, and the number of instances.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{AttemptKey, Effect, TargetKey};

use crate::{Gateway, end::send_waiting};

/// Time that an unwanted attempt has to end until its connection is dropped.
///
/// Targets stop within half a second of a caller's leaving only if their connection is closed.
const UNWANTED_GRACE: Duration = Duration::from_millis(250);

/// The same for requests that run at most once, which are left to run to their end: longer than
/// any target works on one.
const UNWANTED_ONCE_GRACE: Duration = Duration::from_secs(10);

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
        drop_attempt(gateway, key, out);
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

/// Notes this instance's part of the limits, and the larger instances of its zone.
pub fn set_fleet(gateway: &mut Gateway, share_ratio: Option<f64>, larger: Vec<SocketAddr>) {
    gateway.share_ratio = share_ratio;
    gateway.larger = larger;
}

fn drop_attempt(gateway: &mut Gateway, key: AttemptKey, out: &mut Vec<Effect>) {
    let Some(attempt) = gateway.attempts.remove(key) else {
        return;
    };
    if let Some(health) = gateway.health.get_mut(attempt.target) {
        health.running.retain(|&running| running != key);
    }
    out.push(Effect::DropAttempt {
        attempt: key,
        target: attempt.target,
    });
}
