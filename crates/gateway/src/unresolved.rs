//! Attempts without a reply at targets that turn out to have ended.
//!
//! A target that ends in silence, or after its connection was dropped here, fails no attempt. When
//! the store shows later that it has ended, the attempts that it left without a reply may have
//! caused it.

use std::time::{Duration, Instant};

use model::{ServiceKey, TargetKey};
use serde::Serialize;

use crate::{Attempt, Gateway};

/// Time for which a dropped attempt is remembered: until a target's registration lapses, and the
/// delays of the store.
const RETENTION: Duration = Duration::from_secs(10);
/// Upper bound of the remembered attempts; beyond it the oldest are forgotten.
const ATTEMPTS_MAX_COUNT: usize = 2048;
/// Time without any reply after which a target whose registration is gone counts as ended. One
/// that only leaves goes on replying.
const SILENCE_MIN: Duration = Duration::from_millis(800);

/// An attempt that was dropped without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct UnresolvedAttempt {
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// The service.
    pub service: ServiceKey,
    /// The target.
    pub target: TargetKey,
    /// When the attempt was sent.
    #[serde(skip)]
    pub sent_at: Instant,
    /// When the attempt was dropped.
    #[serde(skip)]
    pub dropped_at: Instant,
}

/// Remembers an attempt that is dropped, unless the service has executed the request since.
pub(crate) fn remember(gateway: &mut Gateway, now: Instant, attempt: &Attempt) {
    if attempt.is_superseded || attempt.is_strike {
        return;
    }
    if gateway.unresolved.len() >= ATTEMPTS_MAX_COUNT {
        gateway.unresolved.pop_front();
    }
    gateway.unresolved.push_back(UnresolvedAttempt {
        fingerprint: attempt.fingerprint,
        service: attempt.service,
        target: attempt.target,
        sent_at: attempt.sent_at,
        dropped_at: now,
    });
}

/// Handles the successful execution of a request by a service: it shows that the request has not
/// ended the targets of earlier attempts.
pub(crate) fn forget_executed(gateway: &mut Gateway, fingerprint: u64, service: ServiceKey) {
    gateway
        .unresolved
        .retain(|attempt| attempt.fingerprint != fingerprint || attempt.service != service);
    let in_flight = gateway.attempts.values_mut();
    for attempt in
        in_flight.filter(|attempt| attempt.fingerprint == fingerprint && attempt.service == service)
    {
        attempt.is_superseded = true;
    }
}

/// Forgets the attempts whose retention is over.
pub(crate) fn expire(gateway: &mut Gateway, now: Instant) {
    while gateway
        .unresolved
        .front()
        .is_some_and(|attempt| now >= attempt.dropped_at + RETENTION)
    {
        gateway.unresolved.pop_front();
    }
}

/// Returns whether a target has left the oldest of its attempts without a reply for long, and has not
/// replied to any other since.
pub(crate) fn is_silent(gateway: &Gateway, now: Instant, target: TargetKey) -> bool {
    let in_flight = gateway.attempts.values();
    let oldest_at = in_flight
        .filter(|attempt| attempt.target == target)
        .map(|attempt| attempt.sent_at)
        .min();
    let health = gateway.health.get(target);
    let last_reply_at = health.and_then(|health| health.last_reply_at);
    oldest_at.is_some_and(|sent_at| {
        now >= sent_at + SILENCE_MIN && last_reply_at.is_none_or(|at| at < sent_at)
    })
}

/// Returns whether a target has not replied to a request, nor to any other since.
pub fn has_silent_target(gateway: &Gateway, now: Instant, fingerprint: u64) -> bool {
    let is_silent = |target: TargetKey, sent_at: Instant| {
        let health = gateway.health.get(target);
        let last_reply_at = health.and_then(|health| health.last_reply_at);
        now >= sent_at + SILENCE_MIN && last_reply_at.is_none_or(|at| at < sent_at)
    };
    let mut dropped = gateway.unresolved.iter();
    let mut in_flight = gateway.attempts.values();
    dropped.any(|attempt| {
        attempt.fingerprint == fingerprint && is_silent(attempt.target, attempt.sent_at)
    }) || in_flight.any(|attempt| {
        attempt.fingerprint == fingerprint
            && !attempt.is_superseded
            && !attempt.is_strike
            && is_silent(attempt.target, attempt.sent_at)
    })
}

/// Returns the attempts that a target without registration has left without a reply, once each;
/// none if the target has replied to another request recently.
pub fn take_unresolved(
    gateway: &mut Gateway,
    now: Instant,
    target: TargetKey,
) -> Vec<UnresolvedAttempt> {
    let health = gateway.health.get(target);
    let last_reply_at = health.and_then(|health| health.last_reply_at);
    if last_reply_at.is_some_and(|at| now < at + SILENCE_MIN) {
        return Vec::new();
    }
    let mut taken: Vec<UnresolvedAttempt> = Vec::new();
    gateway.unresolved.retain(|attempt| {
        let is_taken = attempt.target == target;
        taken.extend(is_taken.then_some(*attempt));
        !is_taken
    });
    let in_flight = gateway.attempts.values_mut().filter(|attempt| {
        let is_silent = now >= attempt.sent_at + SILENCE_MIN;
        attempt.target == target && is_silent && !attempt.is_superseded && !attempt.is_strike
    });
    for attempt in in_flight {
        attempt.is_strike = true;
        taken.push(UnresolvedAttempt {
            fingerprint: attempt.fingerprint,
            service: attempt.service,
            target,
            sent_at: attempt.sent_at,
            dropped_at: now,
        });
    }
    taken
}
