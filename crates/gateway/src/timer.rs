//! The timer of an exchange: hedges, the goal, the deadline, and the timeout of a relay.

use std::time::{Duration, Instant};

use model::{Effect, ExchangeKey, Timer};

use crate::{
    Exchange, Gateway, PartState,
    budget::ExtraCall,
    relay,
    respond::{self, finish, finish_if_decided},
    send::{Denial, SendOutcome, try_send},
};

/// Delay of a timer from which on the process is assumed to have paused. Replies may have arrived
/// that are not read yet, so hedges are held off.
const TIMER_LATE_THRESHOLD: Duration = Duration::from_millis(15);
/// Number of times that an answer waits for other events of the thread before it leaves.
const ANSWER_WAITS_COUNT: u32 = 3;
/// Weight of a sample in the moving average of the lateness of timers.
const LATENESS_WEIGHT: f64 = 0.1;
/// Time for which hedges are held off after a pause; long enough to read the replies that have
/// arrived.
const HEDGE_HOLD_OFF: Duration = Duration::from_millis(3);
/// Minimum time until a timer fires: the resolution of timers.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);
/// Time after which a hedge is tried again if no connection was free.
const HEDGE_RECHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which a request to a single service that has got no reply is tried again if the retry
/// budget or the lack of a target denied another attempt: short compared with the goals of such
/// requests.
const DENIED_RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Handles the timer of an exchange: sends the hedges that are due, ends the exchange if it should
/// be answered now, and sets the timer again otherwise.
pub fn on_exchange_timer(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    out: &mut Vec<Effect>,
) {
    let Some(exchange) = gateway.exchanges.get_mut(key) else {
        return;
    };
    let due_at = exchange.due_at.take();
    if let Some(due_at) = due_at {
        let lateness = now.saturating_duration_since(due_at);
        gateway.timer_lateness = smoothed_lateness(gateway.timer_lateness, lateness);
    }
    let Some(exchange) = gateway.exchanges.get_mut(key) else {
        return;
    };
    if now >= exchange.deadline {
        match exchange.relay {
            Some(relay) => relay::on_relay_deadline(gateway, now, key, &relay, out),
            None => finish(gateway, now, key, out),
        }
        return;
    }
    if let Some(relay) = exchange.relay {
        if relay.accept_deadline.is_some_and(|until| now >= until) {
            relay::on_accept_timeout(gateway, now, key, relay.address, out);
        } else {
            arm_timer(gateway, now, key, out);
        }
        return;
    }
    if respond::is_queue_expired(exchange, now) {
        finish(gateway, now, key, out);
        return;
    }
    let is_timer_late = due_at.is_some_and(|due_at| now >= due_at + TIMER_LATE_THRESHOLD);
    if is_timer_late {
        for part in &mut exchange.parts {
            part.hedge_at = part
                .hedge_at
                .map(|hedge_at| hedge_at.max(now + HEDGE_HOLD_OFF));
        }
    } else {
        send_hedges(gateway, now, key, out);
    }
    if !finish_if_decided(gateway, now, key, out) {
        arm_timer(gateway, now, key, out);
    }
}

/// Returns the moving average of the lateness of timers with one more sample. After a pause of the
/// process, which says nothing about its load, a sample counts as [`TIMER_LATE_THRESHOLD`].
fn smoothed_lateness(average: Duration, sample: Duration) -> Duration {
    let sample = sample.min(TIMER_LATE_THRESHOLD);
    average.mul_f64(1.0 - LATENESS_WEIGHT) + sample.mul_f64(LATENESS_WEIGHT)
}

/// Returns the time that an answer is expected to wait on this instance beyond what is always kept
/// back: for the timer that decides on it, for the replies that are handled before it, and for the
/// task that sends it.
pub(crate) fn answer_delay(gateway: &Gateway) -> Duration {
    let lateness = gateway.timer_lateness;
    lateness.saturating_sub(TIMER_RESOLUTION) * ANSWER_WAITS_COUNT
}

/// Sets the timer of an exchange for its next event, unless one is set that fires no later.
pub(crate) fn arm_timer(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    out: &mut Vec<Effect>,
) {
    let Some(exchange) = gateway.exchanges.get_mut(key) else {
        return;
    };
    let next = next_timer_at(exchange, now).max(now + TIMER_RESOLUTION);
    if exchange.due_at.is_some_and(|due_at| due_at <= next) {
        return;
    }
    exchange.due_at = Some(next);
    out.push(Effect::SetTimer {
        timer: Timer::Exchange(key),
        after: next - now,
    });
}

fn next_timer_at(exchange: &Exchange, now: Instant) -> Instant {
    if let Some(relay) = &exchange.relay {
        let accept_deadline = relay.accept_deadline.unwrap_or(exchange.deadline);
        return accept_deadline.min(exchange.deadline);
    }
    let pending = exchange.parts.iter();
    let pending = pending.filter(|part| matches!(part.state, PartState::Pending));
    let hedges = pending.filter_map(|part| part.hedge_at);
    let goal = exchange.goal_at.filter(|&goal_at| goal_at > now);
    let queue_end = respond::is_queued(exchange).then_some(exchange.queue_until);
    hedges
        .chain(goal)
        .chain(queue_end)
        .min()
        .unwrap_or(exchange.deadline)
        .min(exchange.deadline)
}

/// Sends a hedge for each pending part that is due for one, if the request is idempotent and the
/// limits permit it.
fn send_hedges(gateway: &mut Gateway, now: Instant, key: ExchangeKey, out: &mut Vec<Effect>) {
    let exchange = &gateway.exchanges[key];
    if !exchange.is_idempotent {
        for part in &mut gateway.exchanges[key].parts {
            part.hedge_at = None;
        }
        return;
    }
    let parts = exchange.parts.iter().enumerate();
    let due = parts.filter(|(_, part)| {
        let is_pending = matches!(part.state, PartState::Pending);
        is_pending && part.hedge_at.is_some_and(|hedge_at| now >= hedge_at)
    });
    let due: Vec<usize> = due.map(|(index, _)| index).collect();
    for part_index in due {
        let kind = extra_call_kind(gateway, key, part_index);
        let send_outcome = try_send(gateway, now, key, part_index, Some(kind), out);
        let exchange = &mut gateway.exchanges[key];
        // An answer can do without some of the parts of a query, but not without its only one.
        let is_indispensable = exchange.records_count.is_none();
        let part = &mut exchange.parts[part_index];
        part.hedge_at = match send_outcome {
            SendOutcome::Sent => part.hedge_at,
            SendOutcome::Busy => Some(now + HEDGE_RECHECK_INTERVAL),
            SendOutcome::Denied(Denial::Budget) | SendOutcome::NoTarget if is_indispensable => {
                Some(now + DENIED_RECHECK_INTERVAL)
            }
            SendOutcome::Denied(_) | SendOutcome::NoTarget => None,
        };
    }
}

/// Returns what another attempt of a part counts as: a retry if every target that has it is silent,
/// so that no reply is expected, and a hedge otherwise.
fn extra_call_kind(gateway: &Gateway, key: ExchangeKey, part_index: usize) -> ExtraCall {
    let in_flight = &gateway.exchanges[key].parts[part_index].in_flight;
    let mut attempts = in_flight
        .iter()
        .filter_map(|&attempt| gateway.attempts.get(attempt));
    match attempts.all(|attempt| attempt.is_silence_noted) {
        true => ExtraCall::Retry,
        false => ExtraCall::Hedge,
    }
}
