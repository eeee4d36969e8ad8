//! The ends of attempts, and callers that leave.

use std::{sync::Arc, time::Instant};

use model::{
    AttemptKey, AttemptReply, CallFailure, CallerKey, Counter, Effect, ExchangeKey, Level, LogLine,
    PassedReply, ReplyStatus, Requester, TargetKey, Timing, to_word,
};

use crate::{
    Attempt, Gateway, PartState,
    budget::Extra,
    due::arm,
    estimate, health, relay,
    respond::{finish_if_decided, pass},
    send::{Barrier, Sent, give_up, try_send},
};

/// Takes in a target's whole reply.
pub fn attempt_replied(
    gateway: &mut Gateway,
    now: Instant,
    key: AttemptKey,
    reply: &AttemptReply<'_>,
    is_quarantined: bool,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = take(gateway, key, out) else {
        return;
    };
    note_reply(gateway, now, &attempt, reply, out);
    if attempt.unwanted_since.is_none() {
        reply_taken(gateway, now, &attempt, reply, is_quarantined, out);
    }
    send_waiting(gateway, now, out);
}

/// Takes in an attempt that ended without a whole reply.
pub fn attempt_failed(
    gateway: &mut Gateway,
    now: Instant,
    key: AttemptKey,
    failure: CallFailure,
    is_quarantined: bool,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = take(gateway, key, out) else {
        return;
    };
    note_failure(gateway, now, &attempt, failure, out);
    if attempt.unwanted_since.is_none() {
        failure_taken(gateway, now, &attempt, failure, is_quarantined, out);
    }
    send_waiting(gateway, now, out);
}

/// Ends the exchange of a caller that has left. What may run once only goes on.
pub fn caller_gone(gateway: &mut Gateway, now: Instant, caller: CallerKey, out: &mut Vec<Effect>) {
    let gone = Requester::Caller(caller);
    withdraw(gateway, now, gone, out);
}

/// Ends the exchange that nobody waits for any more.
pub(crate) fn withdraw(
    gateway: &mut Gateway,
    now: Instant,
    gone: Requester,
    out: &mut Vec<Effect>,
) {
    let mut exchanges = gateway.exchanges.iter();
    let Some((key, _)) = exchanges.find(|(_, exchange)| exchange.requester == gone) else {
        return;
    };
    let Some(exchange) = gateway.exchanges.remove(key) else {
        return;
    };
    for part in &exchange.parts {
        dismiss(gateway, now, &part.running);
    }
    if let Some(relay) = &exchange.relay {
        relay::cancel(gateway, key, relay, out);
    }
    let line = LogLine::new(Level::Info, "caller-gone")
        .with("request_id", exchange.request.request_id.as_str())
        .with("after_ms", millis(now, exchange.arrived_at))
        .with("answered_count", u64::from(exchange.answered_count))
        .with("parts_count", exchange.parts.len() as u64);
    out.push(Effect::Log(line));
}

/// Marks attempts as unwanted; their connections are kept for a while so that they can end.
pub(crate) fn dismiss(gateway: &mut Gateway, now: Instant, running: &[AttemptKey]) {
    for &key in running {
        if let Some(attempt) = gateway.attempts.get_mut(key) {
            attempt.unwanted_since = Some(now);
        }
    }
}

/// Returns the whole milliseconds since a time.
pub(crate) fn millis(now: Instant, since: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(since).as_millis()).unwrap_or(u64::MAX)
}

fn take(gateway: &mut Gateway, key: AttemptKey, out: &mut Vec<Effect>) -> Option<Attempt> {
    let Some(attempt) = gateway.attempts.remove(key) else {
        out.push(Effect::Count {
            counter: Counter::StaleReplies,
            amount_count: 1,
        });
        return None;
    };
    if let Some(health) = gateway.health.get_mut(attempt.target) {
        health.running.retain(|&running| running != key);
    }
    if let Some(exchange) = gateway.exchanges.get_mut(attempt.exchange) {
        let part = &mut exchange.parts[attempt.part_index];
        part.running.retain(|&running| running != key);
    }
    Some(attempt)
}

/// Takes in what a reply says about its target.
fn note_reply(
    gateway: &mut Gateway,
    now: Instant,
    attempt: &Attempt,
    reply: &AttemptReply<'_>,
    out: &mut Vec<Effect>,
) {
    let Some(health) = gateway.health.get_mut(attempt.target) else {
        return;
    };
    health.replied_at = Some(now);
    if let Some(load) = reply.load {
        health.load = Some((load, now));
    }
    match reply.status {
        ReplyStatus::Done => {
            health::succeeded(health);
            let took = now.saturating_duration_since(attempt.sent_at);
            out.push(Effect::Time {
                timing: Timing::Attempt,
                took,
            });
            if let Some(latency) = health.latency.entry(attempt.front) {
                estimate::observe(latency.or_default(), took);
            }
            if let Some(usage) = gateway.usage.get_mut(attempt.front) {
                estimate::observe(&mut usage.latency, took);
            }
        }
        ReplyStatus::Misdirected => {
            if !std::mem::replace(&mut health.is_replaced, true) {
                let line = target_line(gateway, attempt.target, "target-replaced");
                out.push(Effect::Log(line));
                out.push(Effect::Disconnect {
                    target: attempt.target,
                });
            }
        }
        _ => health::failed(health),
    }
}

fn note_failure(
    gateway: &mut Gateway,
    now: Instant,
    attempt: &Attempt,
    failure: CallFailure,
    out: &mut Vec<Effect>,
) {
    let Some(health) = gateway.health.get_mut(attempt.target) else {
        return;
    };
    health::failed(health);
    if failure != CallFailure::ConnectRefused {
        return;
    }
    let was_avoided = health::is_avoided(health, now);
    health::unreachable(health, now);
    if !was_avoided {
        out.push(Effect::Log(target_line(
            gateway,
            attempt.target,
            "target-unreachable",
        )));
    }
}

/// Returns the start of a log line about a target.
pub(crate) fn target_line(gateway: &Gateway, target: TargetKey, name: &str) -> LogLine {
    let target = gateway.catalog.targets.get(target);
    let id = target.map_or("", |target| &*target.id);
    let service = target.and_then(|target| gateway.catalog.services.get(target.service));
    let service = service.map_or("", |service| &*service.name);
    LogLine::new(Level::Info, name)
        .with("target", id)
        .with("service", service)
}

fn reply_taken(
    gateway: &mut Gateway,
    now: Instant,
    attempt: &Attempt,
    reply: &AttemptReply<'_>,
    is_quarantined: bool,
    out: &mut Vec<Effect>,
) {
    let (key, part_index) = (attempt.exchange, attempt.part_index);
    let Some(exchange) = gateway.exchanges.get_mut(key) else {
        return;
    };
    exchange.evidence.replied(reply.status);
    if reply.status == ReplyStatus::Done && exchange.records_count.is_none() {
        pass(gateway, now, key, passed(reply), out);
        return;
    }
    match reply.status {
        ReplyStatus::Done => answer_part(gateway, now, attempt, reply),
        status => {
            if status == ReplyStatus::Failed {
                exchange.failure = Some(passed(reply));
            }
            let may_have_run = !status.is_not_run();
            let barrier = barrier(exchange.is_idempotent, may_have_run, is_quarantined);
            repeat(gateway, now, key, part_index, barrier, out);
        }
    }
    if !finish_if_decided(gateway, now, key, out) {
        arm(gateway, now, key, out);
    }
}

fn answer_part(gateway: &mut Gateway, now: Instant, attempt: &Attempt, reply: &AttemptReply<'_>) {
    let Some(exchange) = gateway.exchanges.get_mut(attempt.exchange) else {
        return;
    };
    let part = &mut exchange.parts[attempt.part_index];
    if !matches!(part.state, PartState::Open) {
        return;
    }
    part.state = PartState::Answered {
        proof: reply.proof.unwrap_or_default().into(),
        body: reply.body.clone(),
    };
    let losers = std::mem::take(&mut part.running);
    exchange.open_count -= 1;
    exchange.answered_count += 1;
    dismiss(gateway, now, &losers);
}

fn failure_taken(
    gateway: &mut Gateway,
    now: Instant,
    attempt: &Attempt,
    failure: CallFailure,
    is_quarantined: bool,
    out: &mut Vec<Effect>,
) {
    let (key, part_index) = (attempt.exchange, attempt.part_index);
    let Some(exchange) = gateway.exchanges.get_mut(key) else {
        return;
    };
    exchange.evidence.failed(failure);
    let may_have_run = failure.may_have_reached_target();
    if !may_have_run {
        exchange.parts[part_index].sent_count -= 1;
    }
    let barrier = barrier(exchange.is_idempotent, may_have_run, is_quarantined);
    repeat(gateway, now, key, part_index, barrier, out);
    if !finish_if_decided(gateway, now, key, out) {
        arm(gateway, now, key, out);
    }
}

/// Sends a part to another target after a failure, or gives it up.
fn repeat(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    part_index: usize,
    barrier: Option<Barrier>,
    out: &mut Vec<Effect>,
) {
    let barrier = match barrier {
        Some(barrier) => barrier,
        None => match try_send(gateway, now, key, part_index, Some(Extra::Failed), out) {
            Sent::Yes => return,
            Sent::Busy => return gateway.waiting.push_back((key, part_index)),
            Sent::Nobody => Barrier::NoTarget,
            Sent::NotAllowed(barrier) => barrier,
        },
    };
    log_barrier(gateway, key, part_index, barrier, out);
    give_up(gateway, key, part_index);
}

/// Returns what forbids that a request is sent again after it may have been executed, or not.
fn barrier(is_idempotent: bool, may_have_run: bool, is_quarantined: bool) -> Option<Barrier> {
    if may_have_run && !is_idempotent {
        return Some(Barrier::Kind);
    }
    is_quarantined.then_some(Barrier::Quarantined)
}

fn log_barrier(
    gateway: &Gateway,
    key: ExchangeKey,
    part_index: usize,
    barrier: Barrier,
    out: &mut Vec<Effect>,
) {
    let Some(exchange) = gateway.exchanges.get(key) else {
        return;
    };
    let part = &exchange.parts[part_index];
    let service = gateway.catalog.services.get(part.service);
    let line = LogLine::new(Level::Info, "repeat-refused")
        .with("request_id", exchange.request.request_id.as_str())
        .with("service", service.map_or("", |service| &*service.name))
        .with("sent_count", u64::from(part.sent_count))
        .with("reason", to_word(&barrier).as_str());
    out.push(Effect::Log(line));
}

/// Sends the parts that wait for a connection, as far as there are any.
pub(crate) fn send_waiting(gateway: &mut Gateway, now: Instant, out: &mut Vec<Effect>) {
    for _ in 0..gateway.waiting.len() {
        let Some((key, part_index)) = gateway.waiting.pop_front() else {
            return;
        };
        let Some(exchange) = gateway.exchanges.get(key) else {
            continue;
        };
        let part = &exchange.parts[part_index];
        if !matches!(part.state, PartState::Open) || !part.running.is_empty() {
            continue;
        }
        match try_send(gateway, now, key, part_index, Some(Extra::Failed), out) {
            Sent::Busy => gateway.waiting.push_back((key, part_index)),
            Sent::Yes => arm(gateway, now, key, out),
            Sent::NotAllowed(_) | Sent::Nobody => {
                give_up(gateway, key, part_index);
                finish_if_decided(gateway, now, key, out);
            }
        }
    }
}

fn passed(reply: &AttemptReply<'_>) -> PassedReply {
    PassedReply {
        code: reply.code,
        proof: reply.proof.map(Arc::from),
        headers: reply.headers.to_vec(),
        body: reply.body.clone(),
    }
}
