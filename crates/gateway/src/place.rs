//! The choice of a target: the one that is expected to reply first.

use std::time::Instant;

use catalog::Standing;
use model::{FrontKey, ServiceKey, TargetKey};
use rand::RngExt;

use crate::{Gateway, Health, budget, health};

/// Expected time of a reply on a front that nobody has replied on yet.
const UNKNOWN_MS: f64 = 50.0;
/// Time after which the load that a target has stated says nothing any more.
const LOAD_AGE_MAX_MS: f64 = 200.0;
/// Added for a target that does not reply: about the rest of a usual pause.
const SILENT_MS: f64 = 100.0;
/// Multiple of the usual time that a failed attempt costs.
const FAILURE_FACTOR: f64 = 4.0;
/// Added for a target that refuses connections.
const AVOIDED_MS: f64 = 2_000.0;
/// Added for a target in cold start.
const COLD_MS: f64 = 5_000.0;
/// Added for a target that leaves.
const LEAVING_MS: f64 = 10_000.0;
/// Random part of the expected time, so that instances do not all prefer the same target.
const JITTER_RATIO: f64 = 0.1;

/// The result of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// This target.
    Target {
        /// The target.
        target: TargetKey,
        /// Expected time until its reply.
        expected_ms: f64,
    },
    /// Every target that could be used has as many requests as this instance may send it.
    Busy,
    /// No target may receive the request.
    Nobody,
}

/// Chooses the target of a service that is expected to reply first, except for those tried.
pub fn choose(
    gateway: &mut Gateway,
    now: Instant,
    front: FrontKey,
    service: ServiceKey,
    tried: &[TargetKey],
) -> Choice {
    let Some(row) = gateway.catalog.services.get(service) else {
        return Choice::Nobody;
    };
    let connections_max_count =
        budget::connections_max_count(row.connections_max_count, gateway.share_ratio);
    let mut rng = gateway.rng.clone();
    let mut is_busy = false;
    let mut best: Option<(f64, TargetKey)> = None;
    for &target in row.targets.iter().filter(|target| !tried.contains(target)) {
        let standing = catalog::standing(&gateway.catalog, target, now);
        if standing == Standing::Out || !is_allowed(gateway, now, target, standing) {
            continue;
        }
        let health = gateway.health.get(target);
        if health.is_some_and(|health| health.is_replaced) {
            continue;
        }
        let running_count = health.map_or(0, |health| health.running.len());
        if running_count >= connections_max_count {
            is_busy = true;
            continue;
        }
        let jitter = 1.0 + rng.random_range(0.0..JITTER_RATIO);
        let expected_ms = expected_ms(gateway, now, front, target) * jitter + extra_ms(standing);
        if best.is_none_or(|(best_ms, _)| expected_ms < best_ms) {
            best = Some((expected_ms, target));
        }
    }
    gateway.rng = rng;
    match best {
        Some((expected_ms, target)) => Choice::Target {
            target,
            expected_ms,
        },
        None if is_busy => Choice::Busy,
        None => Choice::Nobody,
    }
}

/// Returns the expected time until a target's reply to a request that is sent now.
pub(crate) fn expected_ms(
    gateway: &Gateway,
    now: Instant,
    front: FrontKey,
    target: TargetKey,
) -> f64 {
    let usual = gateway.usage.get(front).map(|usage| &usage.latency);
    let usual_ms = match usual {
        Some(latency) if latency.replies_count > 0 => latency.mean_ms,
        _ => UNKNOWN_MS,
    };
    let Some(health) = gateway.health.get(target) else {
        return usual_ms;
    };
    let own = health.latency.get(front);
    let reply_ms = own.map_or(usual_ms, |latency| latency.mean_ms);
    let slots = f64::from(gateway.catalog.targets[target].slots_count);
    let before = requests_before(health, now);
    let queue_ms = reply_ms * (before + 1.0 - slots).max(0.0) / slots;
    let failure_ms = health.failures_ratio * reply_ms * FAILURE_FACTOR;
    let avoided_ms = match health::is_avoided(health, now) {
        true => AVOIDED_MS,
        false => 0.0,
    };
    reply_ms + queue_ms + failure_ms + avoided_ms + silent_ms(gateway, health, now)
}

/// Returns how many requests the target probably has, from its last word and own calls.
fn requests_before(health: &Health, now: Instant) -> f64 {
    let own = health.running.len() as f64;
    let Some((load, at)) = health.load else {
        return own;
    };
    let age_ms = now.saturating_duration_since(at).as_secs_f64() * 1000.0;
    let weight = (1.0 - age_ms / LOAD_AGE_MAX_MS).max(0.0);
    own.max(f64::from(load.running_count + load.waiting_count) * weight)
}

/// Returns what a target costs beyond its usual time because a reply of it is late.
fn silent_ms(gateway: &Gateway, health: &Health, now: Instant) -> f64 {
    let running = health.running.iter();
    let attempts = running.filter_map(|&attempt| gateway.attempts.get(attempt));
    let oldest_late = attempts.map(|attempt| attempt.late_at).min();
    match oldest_late {
        Some(late_at) if now >= late_at => SILENT_MS + (now - late_at).as_secs_f64() * 1000.0,
        _ => 0.0,
    }
}

/// Tells whether the cold start of a target permits another request.
fn is_allowed(gateway: &Gateway, now: Instant, target: TargetKey, standing: Standing) -> bool {
    if standing != Standing::Cold {
        return true;
    }
    let service = gateway.catalog.targets[target].service;
    let service = &gateway.catalog.services[service];
    let per_s = budget::cold_max_per_s(
        &gateway.settings,
        service.cold_max_per_s,
        gateway.share_ratio,
    );
    let sent_count = gateway
        .health
        .get(target)
        .map_or(0, |health| health::cold_sent_count(health, now));
    sent_count as f64 + 1.0 <= per_s
}

fn extra_ms(standing: Standing) -> f64 {
    match standing {
        Standing::Ready => 0.0,
        Standing::Cold => COLD_MS,
        Standing::Leaving | Standing::Out => LEAVING_MS,
    }
}
