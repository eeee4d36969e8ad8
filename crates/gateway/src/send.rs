//! Sending a part to a target.

use std::time::{Duration, Instant};

use model::{AttemptCall, Counter, Effect, ExchangeKey};
use serde::Serialize;

use crate::{
    Attempt, Choice, Gateway, budget,
    budget::Extra,
    choose, estimate,
    estimate::Estimate,
    health,
    table::{Part, PartState},
};
use catalog::Standing;

/// Time after which a reply is late on a front that nobody has replied on yet.
const LATE_UNKNOWN: Duration = Duration::from_millis(150);
/// Mean deviations beyond the mean that a second call has until the goal: 97 of 100 replies of a
/// normal distribution come within them.
const SECOND_CALL_DEVIATIONS: f64 = 2.4;
/// Mean deviations beyond the mean that a first call has before a second one may go out to meet the
/// goal: three in four replies come within them.
const FIRST_CALL_DEVIATIONS: f64 = 0.8;

/// Part of the time until the goal beyond which a call is expected to be slow: its reply may well
/// miss the goal.
const SLOW_RATIO: f64 = 0.5;

/// Sends every part of an exchange to its first target.
///
/// The calls that are expected to take longest end at the goal, as far as the answer can do without
/// their parts: a target that is behind then drops them from its queue instead of executing what
/// nobody waits for, and catches up.
pub(crate) fn send_first(
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
    let spare_count = parts_count.saturating_sub(exchange.least_count as usize);
    let left_ms = goal_at.saturating_duration_since(now).as_secs_f64() * 1000.0;
    let usual = gateway.usage.get(front).map(|usage| &usage.latency);
    // Once the goal cannot be met any more, every part has the whole time.
    let dispensable = match usual.is_some_and(|usual| usual.mean_ms < left_ms) {
        true => dispensable(&choices, left_ms * SLOW_RATIO, spare_count),
        false => Vec::new(),
    };
    for (part_index, choice) in choices.into_iter().enumerate() {
        match choice {
            Choice::Target { target, .. } => {
                let until = match dispensable.contains(&part_index) {
                    true => goal_at,
                    false => deadline,
                };
                let call = Call {
                    part_index,
                    target,
                    until,
                    is_extra: false,
                };
                send_to(gateway, now, key, call, out);
            }
            Choice::Busy => gateway.waiting.push_back((key, part_index)),
            Choice::Nobody => give_up(gateway, key, part_index),
        }
    }
}

/// Returns the parts that are expected to take longer than a time, the slowest first, a number of
/// them at most.
fn dispensable(choices: &[Choice], beyond_ms: f64, max_count: usize) -> Vec<usize> {
    let choices = choices.iter().enumerate();
    let slow = choices.filter_map(|(index, choice)| match choice {
        Choice::Target { expected_ms, .. } if *expected_ms > beyond_ms => {
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
pub(crate) fn send_part(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    part_index: usize,
    out: &mut Vec<Effect>,
) {
    match try_send(gateway, now, key, part_index, None, out) {
        Sent::Yes | Sent::NotAllowed(_) => {}
        Sent::Busy => gateway.waiting.push_back((key, part_index)),
        Sent::Nobody => give_up(gateway, key, part_index),
    }
}

/// The limit that permits no further call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Barrier {
    /// The part has been decided.
    Decided,
    /// The front allows no more targets.
    Attempts,
    /// This instance's share of the budget is used up.
    Budget,
    /// The request may have been executed and must not be executed twice.
    Kind,
    /// The request may be what crashes its targets.
    Quarantined,
    /// No further target may receive it.
    NoTarget,
}

/// What came of the wish to send a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sent {
    /// It was sent.
    Yes,
    /// Every target has as many requests as this instance may send.
    Busy,
    /// A limit permits no further call.
    NotAllowed(Barrier),
    /// No further target may receive it.
    Nobody,
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
    extra: Option<Extra>,
    out: &mut Vec<Effect>,
) -> Sent {
    let Some(exchange) = gateway.exchanges.get(key) else {
        return Sent::NotAllowed(Barrier::Decided);
    };
    let part = &exchange.parts[part_index];
    if !matches!(part.state, PartState::Open) {
        return Sent::NotAllowed(Barrier::Decided);
    }
    let is_extra = part.sent_count > 0;
    if part.sent_count >= exchange.attempts_max_count {
        return Sent::NotAllowed(Barrier::Attempts);
    }
    if is_extra && !is_in_budget(gateway, now, part, extra) {
        return Sent::NotAllowed(Barrier::Budget);
    }
    let (front, service, until) = (exchange.front, part.service, exchange.deadline);
    let tried = part.tried.clone();
    let target = match choose(gateway, now, front, service, &tried) {
        Choice::Target { target, .. } => target,
        Choice::Busy => return Sent::Busy,
        Choice::Nobody => return Sent::Nobody,
    };
    let call = Call {
        part_index,
        target,
        until,
        is_extra,
    };
    send_to(gateway, now, key, call, out);
    Sent::Yes
}

fn is_in_budget(gateway: &Gateway, now: Instant, part: &Part, extra: Option<Extra>) -> bool {
    let Some(spending) = gateway.spending.get(part.service) else {
        return false;
    };
    budget::may_send_extra(
        &gateway.settings,
        spending,
        gateway.share_ratio,
        now,
        extra == Some(Extra::Late),
    )
}

/// A call of a part to a target.
struct Call {
    part_index: usize,
    target: model::TargetKey,
    /// When the target may give it up.
    until: Instant,
    /// Whether it is beyond the first call of its part.
    is_extra: bool,
}

fn send_to(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    call: Call,
    out: &mut Vec<Effect>,
) {
    let Call {
        part_index,
        target,
        until,
        is_extra,
    } = call;
    let exchange = &gateway.exchanges[key];
    let front = exchange.front;
    let late_after = late_after(gateway, front, target);
    let usual = gateway.usage.get(front).map(|usage| &usage.latency);
    let call_again_at = call_again_at(now, late_after, usual, exchange.goal_at);
    let attempt = gateway.attempts.insert(Attempt {
        exchange: key,
        part_index,
        front,
        target,
        is_extra,
        sent_at: now,
        late_at: now + late_after,
        is_silence_noted: false,
        unwanted_since: None,
        is_idempotent: exchange.is_idempotent,
        fingerprint: exchange.fingerprint,
    });
    let row = &gateway.catalog.targets[target];
    out.push(Effect::Attempt(AttemptCall {
        attempt,
        target,
        target_id: row.id.clone(),
        address: row.address,
        timeout: until.saturating_duration_since(now),
        request: exchange.request.clone(),
        is_passed_on: exchange.records_count.is_none(),
    }));
    let is_cold = catalog::standing(&gateway.catalog, target, now) == Standing::Cold;
    if let Some(health) = gateway.health.entry(target) {
        let health = health.or_default();
        health.running.push(attempt);
        if is_cold {
            health::sent_cold(health, now);
        }
    }
    let exchange = &mut gateway.exchanges[key];
    let part = &mut exchange.parts[part_index];
    part.tried.push(target);
    part.sent_count += 1;
    part.running.push(attempt);
    part.late_at = Some(call_again_at);
    let service = part.service;
    let counter = if is_extra {
        exchange.extra_count += 1;
        if let Some(spending) = gateway.spending.get_mut(service) {
            budget::spent(spending, now);
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
    let usual = gateway.usage.get(front).map(|usage| &usage.latency);
    match (own, usual) {
        (Some(own), Some(usual)) if own.replies_count < 3 => {
            estimate::late_after(own).max(estimate::late_after(usual))
        }
        (Some(own), _) => estimate::late_after(own),
        (None, Some(usual)) if usual.replies_count > 0 => estimate::late_after(usual),
        _ => LATE_UNKNOWN,
    }
}

/// Returns when another target should be called for a part that is sent now: when the reply is late
/// by the usual times of the front, or at the last moment from which a second call probably
/// replies before the goal.
fn call_again_at(
    now: Instant,
    late_after: Duration,
    usual: Option<&Estimate>,
    goal_at: Option<Instant>,
) -> Instant {
    let Some(usual) = usual.filter(|usual| usual.replies_count > 0) else {
        return now + late_after;
    };
    let late_at = now + late_after.min(estimate::late_after(usual));
    let last_useful_at =
        goal_at.and_then(|at| at.checked_sub(estimate::within(usual, SECOND_CALL_DEVIATIONS)));
    match last_useful_at {
        Some(at) => late_at.min(at.max(now + estimate::within(usual, FIRST_CALL_DEVIATIONS))),
        None => late_at,
    }
}

/// Marks an open part that no attempt runs for as missing.
pub(crate) fn give_up(gateway: &mut Gateway, key: ExchangeKey, part_index: usize) {
    let Some(exchange) = gateway.exchanges.get_mut(key) else {
        return;
    };
    let part = &mut exchange.parts[part_index];
    if !matches!(part.state, PartState::Open) || !part.running.is_empty() {
        return;
    }
    part.state = PartState::Missing;
    exchange.open_count -= 1;
}
