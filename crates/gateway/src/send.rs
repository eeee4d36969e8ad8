//! Sending a part to a target.

use std::time::{Duration, Instant};

use model::{AttemptCall, Counter, Effect, ExchangeKey};
use serde::Serialize;

use crate::{
    Attempt, Choice, Gateway, budget,
    budget::ExtraCall,
    choose, health, latency,
    latency::LatencyEstimate,
    state::{Part, PartState},
};
use catalog::Standing;

/// Time after which a reply is late on a front that nobody has replied on yet.
const LATE_AFTER_DEFAULT: Duration = Duration::from_millis(150);
/// Mean deviations beyond the mean that a second call has until the goal: 97 of 100 replies of a
/// normal distribution come within them.
const HEDGE_LEAD_DEVIATIONS: f64 = 2.4;
/// Mean deviations beyond the mean that a first call has before a second one may go out to meet the
/// goal: three in four replies come within them.
const FIRST_ATTEMPT_DEVIATIONS: f64 = 0.8;

/// Part of the time until the goal beyond which a call is expected to be slow: its reply may well
/// miss the goal.
const SLOW_GOAL_RATIO: f64 = 0.5;

/// Sends every part of an exchange to its first target.
///
/// The calls that are expected to take longest end at the goal, as far as the answer can do without
/// their parts: a target that is behind then drops them from its queue instead of executing what
/// nobody waits for, and catches up.
pub(crate) fn send_first_attempts(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    out: &mut Vec<Effect>,
) {
    let front = gateway.exchanges[key].front;
    let parts_count = gateway.exchanges[key].parts.len();
    let choices: Vec<Choice> = (0..parts_count)
        .map(|index| {
            let service = gateway.exchanges[key].parts[index].service;
            choose(gateway, now, front, service, &[])
        })
        .collect();
    let exchange = &gateway.exchanges[key];
    let deadline = exchange.deadline;
    let goal_at = exchange.goal_at.unwrap_or(deadline);
    let dispensable_max_count = parts_count.saturating_sub(exchange.least_count as usize);
    let left_ms = goal_at.saturating_duration_since(now).as_secs_f64() * 1000.0;
    let front_latency = gateway.front_stats.get(front).map(|stats| &stats.latency);
    // Once the goal cannot be met any more, every part has the whole time.
    let dispensable =
        match front_latency.is_some_and(|front_latency| front_latency.mean_ms < left_ms) {
            true => dispensable(&choices, left_ms * SLOW_GOAL_RATIO, dispensable_max_count),
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
            Choice::Busy => gateway.waiting.push_back((key, part_index)),
            Choice::NoTarget => mark_missing(gateway, key, part_index),
        }
    }
}

/// Returns the parts that are expected to take longer than a time, the slowest first, a number of
/// them at most.
fn dispensable(choices: &[Choice], threshold_ms: f64, max_count: usize) -> Vec<usize> {
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

/// Sends an open part to its first target, or lets it wait for a connection.
pub(crate) fn send_or_queue(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    part_index: usize,
    out: &mut Vec<Effect>,
) {
    match try_send(gateway, now, key, part_index, None, out) {
        SendOutcome::Sent | SendOutcome::Denied(_) => {}
        SendOutcome::Busy => gateway.waiting.push_back((key, part_index)),
        SendOutcome::NoTarget => mark_missing(gateway, key, part_index),
    }
}

/// The limit that permits no further call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Denial {
    /// The part has been decided.
    Decided,
    /// The front allows no more targets.
    #[serde(rename = "attempts")]
    AttemptLimit,
    /// This instance's share of the budget is used up.
    Budget,
    /// The request may have been executed and must not be executed twice.
    #[serde(rename = "kind")]
    NotIdempotent,
    /// The request may be what crashes its targets.
    Quarantined,
    /// No further target may receive it.
    NoTarget,
}

/// What came of the wish to send a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendOutcome {
    /// It was sent.
    Sent,
    /// Every target has as many requests as this instance may send.
    Busy,
    /// A limit permits no further call.
    Denied(Denial),
    /// No further target may receive it.
    NoTarget,
}

/// Sends a part to the best target that was not tried, if limits permit it.
///
/// `extra` says why another call is wanted; a part that has not reached any target yet is sent
/// whatever the budget holds.
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
    let is_extra = part.sent_count > 0;
    if part.sent_count >= exchange.attempts_max_count {
        return SendOutcome::Denied(Denial::AttemptLimit);
    }
    if is_extra && !is_in_budget(gateway, now, part, extra) {
        return SendOutcome::Denied(Denial::Budget);
    }
    let (front, service, expires_at) = (exchange.front, part.service, exchange.deadline);
    let tried = part.tried.clone();
    let target = match choose(gateway, now, front, service, &tried) {
        Choice::Target { target, .. } => target,
        Choice::Busy => return SendOutcome::Busy,
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
    let Some(budget) = gateway.retry_budgets.get(part.service) else {
        return false;
    };
    budget::allows_extra_call(
        &gateway.settings,
        budget,
        gateway.share_ratio,
        now,
        extra == Some(ExtraCall::Hedge),
    )
}

/// A call of a part to a target.
struct NewAttempt {
    part_index: usize,
    target: model::TargetKey,
    /// When the target may give it up.
    expires_at: Instant,
    /// Whether it is beyond the first call of its part.
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
        target,
        is_extra,
        sent_at: now,
        late_at: now + late_after,
        is_silence_noted: false,
        abandoned_since: None,
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
        is_passed_on: exchange.records_count.is_none(),
    }));
    let is_cold = catalog::standing(&gateway.catalog, target, now) == Standing::Cold;
    if let Some(health) = gateway.health.entry(target) {
        let health = health.or_default();
        health.in_flight.push(attempt);
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
        if let Some(budget) = gateway.retry_budgets.get_mut(service) {
            budget::record_extra_call(budget, now);
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
fn late_after(gateway: &Gateway, front: model::FrontKey, target: model::TargetKey) -> Duration {
    let own = gateway
        .health
        .get(target)
        .and_then(|health| health.latency.get(front));
    let front_latency = gateway.front_stats.get(front).map(|stats| &stats.latency);
    match (own, front_latency) {
        (Some(own), Some(front_latency)) if own.replies_count < 3 => {
            latency::late_after(own).max(latency::late_after(front_latency))
        }
        (Some(own), _) => latency::late_after(own),
        (None, Some(front_latency)) if front_latency.replies_count > 0 => {
            latency::late_after(front_latency)
        }
        _ => LATE_AFTER_DEFAULT,
    }
}

/// Returns when another target should be called for a part that is sent now: when the reply is late
/// by the usual times of the front, or at the last moment from which a second call probably
/// replies before the goal.
fn hedge_at(
    now: Instant,
    late_after: Duration,
    front_latency: Option<&LatencyEstimate>,
    goal_at: Option<Instant>,
) -> Instant {
    let Some(front_latency) = front_latency.filter(|front_latency| front_latency.replies_count > 0)
    else {
        return now + late_after;
    };
    let late_at = now + late_after.min(latency::late_after(front_latency));
    let last_useful_at = goal_at
        .and_then(|at| at.checked_sub(latency::upper_bound(front_latency, HEDGE_LEAD_DEVIATIONS)));
    match last_useful_at {
        Some(at) => {
            late_at.min(at.max(now + latency::upper_bound(front_latency, FIRST_ATTEMPT_DEVIATIONS)))
        }
        None => late_at,
    }
}

/// Marks an open part that no attempt runs for as missing.
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
