//! Target selection: the target with the lowest expected latency, plus penalties.

use std::time::Instant;

use catalog::Eligibility;
use model::{FrontKey, ServiceKey, TargetKey};
use rand::RngExt;

use crate::{Gateway, Health, budget, health, load, rate_limit, stated_backoff};

/// Expected latency on a front that has not had a reply yet.
const DEFAULT_LATENCY_MS: f64 = 50.0;
/// Penalty for a target with a late reply: about the time that a typical pause of a target still
/// lasts.
const SILENCE_PENALTY_MS: f64 = 100.0;
/// Cost of a failed attempt as a multiple of the target's latency.
const FAILURE_PENALTY_FACTOR: f64 = 4.0;
/// Penalty for a target in backoff.
const BACKOFF_PENALTY_MS: f64 = 2_000.0;
/// Penalty for a target in cold start.
const COLD_PENALTY_MS: f64 = 5_000.0;
/// Penalty for a draining target.
const DRAINING_PENALTY_MS: f64 = 10_000.0;
/// Maximum jitter, relative to the expected latency; keeps instances from all preferring the same
/// target.
const JITTER_RATIO: f64 = 0.1;

/// Result of target selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// A target was selected.
    Target {
        /// The target.
        target: TargetKey,
        /// Expected latency, including penalties.
        expected_ms: f64,
    },
    /// At least one target is usable, but this instance has reached its connection limit at each.
    Busy,
    /// At least one target is usable, but each wants no more requests now: this instance has used up
    /// its share of the target's rate limit, or the target has stated a backoff.
    RateLimited,
    /// No target is usable.
    NoTarget,
}

/// Selects the target of a service with the lowest expected latency, other than those tried.
pub fn choose_target(
    gateway: &mut Gateway,
    now: Instant,
    front: FrontKey,
    service: ServiceKey,
    tried: &[TargetKey],
) -> Choice {
    let Some(entry) = gateway.catalog.services.get(service) else {
        return Choice::NoTarget;
    };
    let connections_max_count =
        budget::connections_max_count(entry.connections_max_count, gateway.share_ratio);
    let mut rng = gateway.rng.clone();
    let (mut is_busy, mut is_rate_limited) = (false, false);
    let mut best: Option<(f64, TargetKey)> = None;
    for &target in entry
        .targets
        .iter()
        .filter(|target| !tried.contains(target))
    {
        let eligibility = catalog::eligibility(&gateway.catalog, target, now);
        if eligibility == Eligibility::Out
            || !is_within_cold_rate(gateway, now, target, eligibility)
        {
            continue;
        }
        let health = gateway.health.get(target);
        if health.is_some_and(|health| health.is_replaced) {
            continue;
        }
        let is_permitted = |health: &Health| {
            rate_limit::has_token(health, now) && stated_backoff::is_ready(health, now)
        };
        if !health.is_none_or(is_permitted) {
            is_rate_limited = true;
            continue;
        }
        let in_flight_count = health.map_or(0, |health| health.in_flight.len());
        if in_flight_count >= connections_max_count {
            is_busy = true;
            continue;
        }
        let jitter = 1.0 + rng.random_range(0.0..JITTER_RATIO);
        let expected_ms =
            expected_ms(gateway, now, front, target) * jitter + eligibility_penalty_ms(eligibility);
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
        None if is_rate_limited => Choice::RateLimited,
        None => Choice::NoTarget,
    }
}

/// Returns the expected latency of a request that is sent to a target now, without the penalty for
/// its eligibility.
pub(crate) fn expected_ms(
    gateway: &Gateway,
    now: Instant,
    front: FrontKey,
    target: TargetKey,
) -> f64 {
    let front_stats = gateway.front_stats.get(front);
    let front_latency = front_stats.map(|stats| &stats.latency);
    let front_ms = match front_latency {
        Some(latency) if latency.replies_count > 0 => latency.mean_ms,
        _ => DEFAULT_LATENCY_MS,
    };
    let Some(health) = gateway.health.get(target) else {
        return front_ms;
    };
    let target_latency = health.latency.get(front);
    let stated_ms = front_stats
        .and_then(|stats| load::reply_ms(&health.load, now, front, &stats.normal_latency));
    let reply_ms =
        stated_ms.unwrap_or_else(|| target_latency.map_or(front_ms, |latency| latency.mean_ms));
    let slots = f64::from(gateway.catalog.targets[target].slots_count);
    let load = load::requests_count(health, now);
    let queue_ms = reply_ms * (load + 1.0 - slots).max(0.0) / slots;
    let failure_penalty_ms = health.failures_ratio * reply_ms * FAILURE_PENALTY_FACTOR;
    let backoff_penalty_ms = match health::is_in_backoff(health, now) {
        true => BACKOFF_PENALTY_MS,
        false => 0.0,
    };
    reply_ms
        + queue_ms
        + failure_penalty_ms
        + backoff_penalty_ms
        + silence_penalty_ms(gateway, health, now)
}

/// Returns the penalty for late replies of a target; it grows with the lateness of the oldest one.
fn silence_penalty_ms(gateway: &Gateway, health: &Health, now: Instant) -> f64 {
    let in_flight = health.in_flight.iter();
    let attempts = in_flight.filter_map(|&attempt| gateway.attempts.get(attempt));
    let oldest_late = attempts.map(|attempt| attempt.late_at).min();
    match oldest_late {
        Some(late_at) if now >= late_at => {
            SILENCE_PENALTY_MS + (now - late_at).as_secs_f64() * 1000.0
        }
        _ => 0.0,
    }
}

/// Returns whether the rate limit of a target in cold start permits another request.
fn is_within_cold_rate(
    gateway: &Gateway,
    now: Instant,
    target: TargetKey,
    eligibility: Eligibility,
) -> bool {
    if eligibility != Eligibility::Cold {
        return true;
    }
    let service = gateway.catalog.targets[target].service;
    let service = &gateway.catalog.services[service];
    let max_per_s = budget::cold_max_per_s(
        &gateway.settings,
        service.cold_max_per_s,
        gateway.share_ratio,
    );
    let requests_count = gateway
        .health
        .get(target)
        .map_or(0, |health| health::cold_requests_count(health, now));
    requests_count as f64 + 1.0 <= max_per_s
}

fn eligibility_penalty_ms(eligibility: Eligibility) -> f64 {
    match eligibility {
        Eligibility::Ready => 0.0,
        Eligibility::Cold => COLD_PENALTY_MS,
        Eligibility::Leaving | Eligibility::Out => DRAINING_PENALTY_MS,
    }
}
