//! Sending of parts to targets, and the limits on it.

use std::time::{Duration, Instant};

use model::{AttemptCall, Counter, Effect, ExchangeKey};
use serde::Serialize;

use crate::{
    Attempt, Choice, Exchange, Gateway, budget,
    budget::{ExtraCall, RetryBudget},
    choose_target, health, latency,
    latency::LatencyEstimate,
    rate_limit,
    respond::{has_expired_permit, is_unsent},
    state::{Part, PartState},
};
use catalog::Eligibility;

/// Time after which a reply is late on a front that has not had a reply yet.
const LATE_AFTER_DEFAULT: Duration = Duration::from_millis(150);
/// Time reserved for the reply to a hedge before the goal, in mean deviations beyond the mean
/// latency: 97% of the replies arrive within it if latencies are normally distributed.
const HEDGE_LEAD_DEVIATIONS: f64 = 2.4;
/// Minimum time before an attempt is hedged to meet the goal, in mean deviations beyond the mean
/// latency: 75% of the replies arrive within it.
const HEDGE_DELAY_MIN_DEVIATIONS: f64 = 0.8;

/// Ratio of expected latency to the time until the goal above which an attempt counts as slow: it
/// is likely to miss the goal.
const SLOW_GOAL_RATIO: f64 = 0.5;

/// Sends every part of an exchange to its first target, unless the request is quarantined or its
/// caller no longer admitted.
///
/// An answer can do without the parts above the minimum. The timeout of at most that many slow
/// attempts, slowest first, ends at the goal instead of the deadline. An overloaded target then
/// drops them from its queue rather than executing requests whose replies come too late, and
/// recovers.
pub(crate) fn send_first_attempts(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    out: &mut Vec<Effect>,
) {
    let front = gateway.exchanges[key].front;
    let parts_count = gateway.exchanges[key].parts.len();
    if gateway.exchanges[key].is_quarantined || gateway.exchanges[key].is_revoked {
        (0..parts_count).for_each(|part_index| mark_missing(gateway, key, part_index));
        return;
    }
    let choices: Vec<Choice> = (0..parts_count)
        .map(|index| {
            let service = gateway.exchanges[key].parts[index].service;
            choose_target(gateway, now, front, service, &[])
        })
        .collect();
    if is_too_limited(&gateway.exchanges[key], &choices) {
        record_rate_limited(gateway, key, out);
        (0..parts_count).for_each(|part_index| mark_missing(gateway, key, part_index));
        return;
    }
    let exchange = &gateway.exchanges[key];
    let deadline = exchange.deadline;
    let goal_at = exchange.goal_at.unwrap_or(deadline);
    let dispensable_max_count = parts_count.saturating_sub(exchange.parts_min_count as usize);
    let left_ms = goal_at.saturating_duration_since(now).as_secs_f64() * 1000.0;
    let front_latency = gateway.front_stats.get(front).map(|stats| &stats.latency);
    // If a typical reply would miss the goal, every part may take until the deadline.
    let dispensable = match front_latency.is_some_and(|latency| latency.mean_ms < left_ms) {
        true => slowest_parts(&choices, left_ms * SLOW_GOAL_RATIO, dispensable_max_count),
        false => Vec::new(),
    };
    for (part_index, choice) in choices.into_iter().enumerate() {
        match choice {
            Choice::Target { target, .. } => {
                let expires_at = match dispensable.contains(&part_index) {
                    true => goal_at,
                    false => deadline,
                };
                let new = NewAttempt {
                    part_index,
                    target,
                    expires_at,
                    is_extra: false,
                };
                start_attempt(gateway, now, key, new, out);
            }
            Choice::Busy => gateway.queued_parts.push_back((key, part_index)),
            Choice::RateLimited => {
                record_rate_limited(gateway, key, out);
                mark_missing(gateway, key, part_index);
            }
            Choice::NoTarget => mark_missing(gateway, key, part_index),
        }
    }
}

fn record_rate_limited(gateway: &mut Gateway, key: ExchangeKey, out: &mut Vec<Effect>) {
    gateway.exchanges[key].is_rate_limited = true;
    out.push(Effect::Count {
        counter: Counter::RateLimitedParts,
        amount_count: 1,
    });
}

/// Returns whether rate limits leave a query too few parts for an answer, so that its other parts
/// would be executed for nothing.
fn is_too_limited(exchange: &Exchange, choices: &[Choice]) -> bool {
    let limited = choices
        .iter()
        .filter(|&&choice| choice == Choice::RateLimited);
    let limited_count = limited.count();
    let possible = choices
        .iter()
        .filter(|choice| matches!(choice, Choice::Target { .. } | Choice::Busy));
    limited_count > 0 && possible.count() < exchange.parts_min_count as usize
}

/// Returns the indices of at most `max_count` parts whose expected latency exceeds the threshold,
/// slowest first.
fn slowest_parts(choices: &[Choice], threshold_ms: f64, max_count: usize) -> Vec<usize> {
    let choices = choices.iter().enumerate();
    let slow = choices.filter_map(|(index, choice)| match choice {
        Choice::Target { expected_ms, .. } if *expected_ms > threshold_ms => {
            Some((*expected_ms, index))
        }
        _ => None,
    });
    let mut slow: Vec<(f64, usize)> = slow.collect();
    slow.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    slow.into_iter()
        .map(|(_, index)| index)
        .take(max_count)
        .collect()
}

/// Sends a pending part, or queues it until a connection is free.
pub(crate) fn send_or_queue(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    part_index: usize,
    out: &mut Vec<Effect>,
) {
    match try_send(gateway, now, key, part_index, None, out) {
        SendOutcome::Sent => {}
        SendOutcome::Busy => gateway.queued_parts.push_back((key, part_index)),
        SendOutcome::Denied(_) | SendOutcome::NoTarget => mark_missing(gateway, key, part_index),
    }
}

/// Reason for not sending a part again. Logged by the serialised name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Denial {
    /// The part is answered or missing, or its exchange has ended.
    Decided,
    /// The part has been sent to as many targets as the front allows.
    #[serde(rename = "attempts")]
    AttemptLimit,
    /// This instance's share of the retry budget is used up.
    Budget,
    /// The request may have been executed and is not idempotent.
    #[serde(rename = "kind")]
    NotIdempotent,
    /// The request is quarantined because it is suspected of crashing its targets.
    Quarantined,
    /// The configuration in force no longer admits the caller.
    Revoked,
    /// This instance's share of the rate limits of the other targets is used up.
    RateLimited,
    /// No target has received the request, and its permit has expired in the queue.
    PermitExpired,
    /// No other target is usable.
    NoTarget,
}

/// Result of [`try_send`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendOutcome {
    /// An attempt was started.
    Sent,
    /// The part has to wait: this instance has reached its connection limit at every usable target,
    /// or the instance that relayed the query has not granted another attempt yet.
    Busy,
    /// Another attempt is not permitted.
    Denied(Denial),
    /// No other target is usable.
    NoTarget,
}

/// Sends a pending part to the best target that has not been tried, if the limits permit it.
///
/// `extra` is the kind of call if the part may have been sent before. The retry budget does not
/// apply to a part that no target can have received yet.
pub(crate) fn try_send(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    part_index: usize,
    extra: Option<ExtraCall>,
    out: &mut Vec<Effect>,
) -> SendOutcome {
    let Some(exchange) = gateway.exchanges.get(key) else {
        return SendOutcome::Denied(Denial::Decided);
    };
    let part = &exchange.parts[part_index];
    if !matches!(part.state, PartState::Pending) {
        return SendOutcome::Denied(Denial::Decided);
    }
    if exchange.is_quarantined {
        return SendOutcome::Denied(Denial::Quarantined);
    }
    let is_untouched = exchange.parts.iter().all(|part| part.sent_count == 0);
    if exchange.is_revoked && is_untouched {
        return SendOutcome::Denied(Denial::Revoked);
    }
    if has_expired_permit(exchange, now) && is_unsent(exchange) {
        return SendOutcome::Denied(Denial::PermitExpired);
    }
    let is_extra = part.sent_count > 0;
    if part.sent_count >= exchange.attempts_max_count {
        return match exchange.attempts_withheld_count {
            0 => SendOutcome::Denied(Denial::AttemptLimit),
            _ => SendOutcome::Busy,
        };
    }
    if is_extra && !is_in_budget(gateway, now, part, extra) {
        return SendOutcome::Denied(Denial::Budget);
    }
    let (front, service, expires_at) = (exchange.front, part.service, exchange.deadline);
    let tried = part.tried.clone();
    let target = match choose_target(gateway, now, front, service, &tried) {
        Choice::Target { target, .. } => target,
        Choice::Busy => return SendOutcome::Busy,
        Choice::RateLimited => {
            record_rate_limited(gateway, key, out);
            return SendOutcome::Denied(Denial::RateLimited);
        }
        Choice::NoTarget => return SendOutcome::NoTarget,
    };
    let new = NewAttempt {
        part_index,
        target,
        expires_at,
        is_extra,
    };
    start_attempt(gateway, now, key, new, out);
    SendOutcome::Sent
}

fn is_in_budget(gateway: &Gateway, now: Instant, part: &Part, extra: Option<ExtraCall>) -> bool {
    let unused = RetryBudget::default();
    let budget = gateway.retry_budgets.get(part.service).unwrap_or(&unused);
    budget::allows_extra_call(
        &gateway.settings,
        budget,
        gateway.share_ratio,
        now,
        extra == Some(ExtraCall::Hedge),
    )
}

/// An attempt to be started.
struct NewAttempt {
    part_index: usize,
    target: model::TargetKey,
    /// When the timeout that is sent to the target expires.
    expires_at: Instant,
    /// Whether it counts against the retry budget.
    is_extra: bool,
}

fn start_attempt(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    new: NewAttempt,
    out: &mut Vec<Effect>,
) {
    let NewAttempt {
        part_index,
        target,
        expires_at,
        is_extra,
    } = new;
    let exchange = &gateway.exchanges[key];
    let front = exchange.front;
    let late_after = late_after(gateway, front, target);
    let front_latency = gateway.front_stats.get(front).map(|stats| &stats.latency);
    let hedge_at = hedge_at(now, late_after, front_latency, exchange.goal_at);
    let attempt = gateway.attempts.insert(Attempt {
        exchange: key,
        part_index,
        front,
        service: exchange.parts[part_index].service,
        target,
        is_extra,
        sent_at: now,
        late_at: now + late_after,
        is_silence_noted: false,
        abandoned_since: None,
        is_superseded: false,
        is_strike: false,
        is_idempotent: exchange.is_idempotent,
        fingerprint: exchange.fingerprint,
    });
    let entry = &gateway.catalog.targets[target];
    out.push(Effect::Attempt(AttemptCall {
        attempt,
        target,
        target_id: entry.id.clone(),
        address: entry.address,
        timeout: expires_at.saturating_duration_since(now),
        request: exchange.request.clone(),
        returns_headers: exchange.records_count.is_none(),
    }));
    let is_cold = catalog::eligibility(&gateway.catalog, target, now) == Eligibility::Cold;
    if let Some(health) = gateway.health.entry(target) {
        let health = health.or_default();
        health.in_flight.push(attempt);
        rate_limit::take_token(health, now);
        if is_cold {
            health::record_cold_request(health, now);
        }
    }
    let exchange = &mut gateway.exchanges[key];
    let part = &mut exchange.parts[part_index];
    part.tried.push(target);
    part.sent_count += 1;
    part.in_flight.push(attempt);
    part.hedge_at = Some(hedge_at);
    let service = part.service;
    let counter = if is_extra {
        exchange.extra_count += 1;
        if let Some(budget) = gateway.retry_budgets.entry(service) {
            budget::record_extra_call(budget.or_default(), now);
        }
        Counter::HedgeCalls
    } else {
        Counter::PrimaryCalls
    };
    out.push(Effect::Count {
        counter,
        amount_count: 1,
    });
}

/// Returns the time after which a target's reply is late.
///
/// With fewer than three replies of the target, it is at least the front's value.
fn late_after(gateway: &Gateway, front: model::FrontKey, target: model::TargetKey) -> Duration {
    let target_latency = gateway
        .health
        .get(target)
        .and_then(|health| health.latency.get(front));
    let front_latency = gateway.front_stats.get(front).map(|stats| &stats.latency);
    match (target_latency, front_latency) {
        (Some(target_latency), Some(front_latency)) if target_latency.replies_count < 3 => {
            latency::late_after(target_latency).max(latency::late_after(front_latency))
        }
        (Some(target_latency), _) => latency::late_after(target_latency),
        (None, Some(front_latency)) if front_latency.replies_count > 0 => {
            latency::late_after(front_latency)
        }
        _ => LATE_AFTER_DEFAULT,
    }
}

/// Returns when to hedge an attempt that starts now: once its reply is late by the latencies of the
/// target or the front, or at the last moment from which a hedge is likely to reply before the
/// goal, whichever is earlier.
fn hedge_at(
    now: Instant,
    late_after: Duration,
    front_latency: Option<&LatencyEstimate>,
    goal_at: Option<Instant>,
) -> Instant {
    let Some(front_latency) = front_latency.filter(|latency| latency.replies_count > 0) else {
        return now + late_after;
    };
    let late_at = now + late_after.min(latency::late_after(front_latency));
    let last_useful_at = goal_at
        .and_then(|at| at.checked_sub(latency::upper_bound(front_latency, HEDGE_LEAD_DEVIATIONS)));
    match last_useful_at {
        Some(at) => late_at
            .min(at.max(now + latency::upper_bound(front_latency, HEDGE_DELAY_MIN_DEVIATIONS))),
        None => late_at,
    }
}

/// Marks a pending part without attempts in flight as missing.
pub(crate) fn mark_missing(gateway: &mut Gateway, key: ExchangeKey, part_index: usize) {
    let Some(exchange) = gateway.exchanges.get_mut(key) else {
        return;
    };
    let part = &mut exchange.parts[part_index];
    if !matches!(part.state, PartState::Pending) || !part.in_flight.is_empty() {
        return;
    }
    part.state = PartState::Missing;
    exchange.pending_count -= 1;
}
