//! The timer of an exchange: second calls against lateness, the goal, and the deadline.

use std::time::{Duration, Instant};

use model::{Effect, ExchangeKey, Timer};

use crate::{
    Exchange, Gateway, PartState,
    budget::Extra,
    relay,
    respond::{finish, finish_if_decided},
    send::{Sent, try_send},
};

/// Lateness of a timer from which on replies may have arrived that were not read yet, so that
/// second calls wait a moment.
const TIMER_LATE: Duration = Duration::from_millis(15);
/// Time in which replies that have arrived are read after a pause of the process.
const CATCH_UP: Duration = Duration::from_millis(3);
/// Least time between two timers of an exchange: the grain of timers.
const TIMER_STEP: Duration = Duration::from_millis(1);
/// Time after which a second call that was not possible is considered again.
const RECONSIDER_AFTER: Duration = Duration::from_millis(10);

/// Does what is due for an exchange.
pub fn due(gateway: &mut Gateway, now: Instant, key: ExchangeKey, out: &mut Vec<Effect>) {
    let Some(exchange) = gateway.exchanges.get_mut(key) else {
        return;
    };
    let due_at = exchange.due_at.take();
    if now >= exchange.deadline {
        finish(gateway, now, key, out);
        return;
    }
    if let Some(relay) = exchange.relay {
        if relay.take_until.is_some_and(|until| now >= until) {
            relay::not_taken(gateway, now, key, relay.address, out);
        } else {
            arm(gateway, now, key, out);
        }
        return;
    }
    let is_late = due_at.is_some_and(|due_at| now >= due_at + TIMER_LATE);
    if is_late {
        for part in &mut exchange.parts {
            part.late_at = part.late_at.map(|late_at| late_at.max(now + CATCH_UP));
        }
    } else {
        call_again(gateway, now, key, out);
    }
    if !finish_if_decided(gateway, now, key, out) {
        arm(gateway, now, key, out);
    }
}

/// Sets the timer of an exchange for the next thing that will be due.
pub(crate) fn arm(gateway: &mut Gateway, now: Instant, key: ExchangeKey, out: &mut Vec<Effect>) {
    let Some(exchange) = gateway.exchanges.get_mut(key) else {
        return;
    };
    let next = next_due(exchange, now).max(now + TIMER_STEP);
    if exchange.due_at.is_some_and(|due_at| due_at <= next) {
        return;
    }
    exchange.due_at = Some(next);
    out.push(Effect::SetTimer {
        timer: Timer::Exchange(key),
        after: next - now,
    });
}

fn next_due(exchange: &Exchange, now: Instant) -> Instant {
    if let Some(relay) = &exchange.relay {
        let take_until = relay.take_until.unwrap_or(exchange.deadline);
        return take_until.min(exchange.deadline);
    }
    let open = exchange.parts.iter();
    let open = open.filter(|part| matches!(part.state, PartState::Open));
    let late = open.filter_map(|part| part.late_at);
    let goal = exchange.goal_at.filter(|&goal_at| goal_at > now);
    late.chain(goal)
        .min()
        .unwrap_or(exchange.deadline)
        .min(exchange.deadline)
}

/// Calls another target for each part whose attempt is late, as far as that is of use.
fn call_again(gateway: &mut Gateway, now: Instant, key: ExchangeKey, out: &mut Vec<Effect>) {
    let exchange = &gateway.exchanges[key];
    if !exchange.is_idempotent {
        for part in &mut gateway.exchanges[key].parts {
            part.late_at = None;
        }
        return;
    }
    let parts = exchange.parts.iter().enumerate();
    let late = parts.filter(|(_, part)| {
        let is_open = matches!(part.state, PartState::Open);
        is_open && part.late_at.is_some_and(|late_at| now >= late_at)
    });
    let late: Vec<usize> = late.map(|(index, _)| index).collect();
    for part_index in late {
        let sent = try_send(gateway, now, key, part_index, Some(Extra::Late), out);
        let part = &mut gateway.exchanges[key].parts[part_index];
        part.late_at = match sent {
            Sent::Yes => part.late_at,
            Sent::Busy => Some(now + RECONSIDER_AFTER),
            Sent::NotAllowed(_) | Sent::Nobody => None,
        };
    }
}
