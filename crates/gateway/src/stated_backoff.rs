//! Backoffs that targets state: a target that refuses a request may want no others for a time.
//!
//! Unlike the backoff of an unreachable target, which only makes others preferred, nothing is sent
//! until the time is over. After it, the target is tried with one request at a time for a while, so
//! that what has waited does not reach it all at once.

use std::time::{Duration, Instant};

use model::{Effect, ServiceKey};

use crate::{
    Attempt, Gateway,
    health::Health,
    log_line::{elapsed_ms, target_log_line},
};

/// Time after the end of a backoff for which a target gets one request at a time.
const RESUME_DURATION: Duration = Duration::from_secs(1);

/// Handles the backoff that a target has stated in a reply; a shorter one does not end a longer
/// one.
pub(crate) fn on_report(
    gateway: &mut Gateway,
    now: Instant,
    attempt: &Attempt,
    stated: Option<Duration>,
    out: &mut Vec<Effect>,
) {
    let Some(stated) = stated else {
        return;
    };
    let Some(health) = gateway.health.get_mut(attempt.target) else {
        return;
    };
    let was_paused = is_paused(health, now);
    let until = now + stated;
    health.paused_until = Some(health.paused_until.map_or(until, |known| known.max(until)));
    if !was_paused {
        let line = target_log_line(gateway, attempt.target, "target-paused");
        let paused_ms = elapsed_ms(until, now);
        out.push(Effect::Log(line.with("paused_ms", paused_ms)));
    }
}

/// Returns whether a target wants no requests now.
pub(crate) fn is_paused(health: &Health, now: Instant) -> bool {
    health.paused_until.is_some_and(|until| now < until)
}

/// Returns whether a target may get a request as far as its backoff is concerned: it has none, or
/// the backoff is over and no request is in flight right after it.
pub(crate) fn is_ready(health: &Health, now: Instant) -> bool {
    let Some(until) = health.paused_until else {
        return true;
    };
    now >= until && (now >= until + RESUME_DURATION || health.in_flight.is_empty())
}

/// Returns the time until the first target of a service is ready, if all that are registered have
/// stated a backoff.
pub(crate) fn wait(gateway: &Gateway, now: Instant, service: ServiceKey) -> Option<Duration> {
    let targets = &gateway.catalog.services.get(service)?.targets;
    let until = targets.iter().map(|&target| {
        let health = gateway.health.get(target)?;
        health.paused_until.filter(|_| is_paused(health, now))
    });
    let until: Option<Vec<Instant>> = until.collect();
    let first = until?.into_iter().min()?;
    Some(first.saturating_duration_since(now))
}
