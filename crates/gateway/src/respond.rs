//! Responses: when an exchange ends, and what its requester receives.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use model::{
    CallerKey, Counter, Effect, ExchangeKey, HttpRequest, HttpResponse, Level, LogLine,
    NotRunReason, Outcome, ProxiedReply, Requester, Timing, UnknownReason, variant_name,
};
use rand::RngExt;

use crate::{
    Exchange, Gateway, PartState, completion::abandon_attempts, log_line::elapsed_ms,
    merge::greatest_records, rate_limit, relay, stated_backoff,
};

/// Range of the random `Retry-After` of refusals; the jitter keeps callers from retrying at once.
const RETRY_AFTER_RANGE: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(200)];
/// Range of `Retry-After` if no target is usable: the backoff of a target is at least 250 ms.
const NO_TARGET_RETRY_AFTER_RANGE: [Duration; 2] =
    [Duration::from_millis(250), Duration::from_millis(500)];
/// Maximum factor by which the time until a rate limit permits a request is extended.
const RATE_LIMITED_JITTER_MAX: f64 = 2.0;
/// Maximum number of missing services in a log line.
const MISSING_LOGGED_MAX_COUNT: usize = 4;

/// Refuses a caller's request before any attempt.
pub fn refuse(
    gateway: &mut Gateway,
    caller: CallerKey,
    request: &Arc<HttpRequest>,
    reason: NotRunReason,
    out: &mut Vec<Effect>,
) {
    out.push(Effect::Count {
        counter: Counter::Refusals,
        amount_count: 1,
    });
    let line = LogLine::new(Level::Info, "request-refused")
        .with("request_id", request.request_id.as_str())
        .with("host", request.host.as_str())
        .with("path", request.path.as_str())
        .with("version", gateway.catalog.version)
        .with("reason", variant_name(&reason).as_str());
    out.push(Effect::Log(line));
    let response = outcome_response(gateway, Outcome::NotRun(reason));
    send_response(gateway, Requester::Caller(caller), response, true, out);
}

/// Refuses a query that another instance relayed to this one, before any attempt.
pub(crate) fn refuse_relayed(
    gateway: &mut Gateway,
    requester: Requester,
    request: &Arc<HttpRequest>,
    reason: NotRunReason,
    out: &mut Vec<Effect>,
) {
    let line = LogLine::new(Level::Info, "relay-refused")
        .with("request_id", request.request_id.as_str())
        .with("version", gateway.catalog.version)
        .with("reason", variant_name(&reason).as_str());
    out.push(Effect::Log(line));
    let response = outcome_response(gateway, Outcome::NotRun(reason));
    send_response(gateway, requester, response, true, out);
}

/// Ends an exchange by passing a target's reply on to the requester.
pub(crate) fn finish_with_reply(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    reply: ProxiedReply,
    out: &mut Vec<Effect>,
) {
    let Some(exchange) = remove_exchange(gateway, now, key) else {
        return;
    };
    record_end(gateway, now, &exchange, "passed", 0, out);
    respond(gateway, &exchange, HttpResponse::Proxied(reply), out);
}

/// Ends an exchange if it should be answered now; returns whether it has ended.
pub(crate) fn finish_if_decided(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    out: &mut Vec<Effect>,
) -> bool {
    let Some(exchange) = gateway.exchanges.get(key) else {
        return true;
    };
    if !is_decided(exchange, now) {
        return false;
    }
    finish(gateway, now, key, out);
    true
}

/// Returns whether an exchange should be answered now.
///
/// Until the goal, it waits for all parts. From the goal on, the minimum number of parts is enough:
/// an immediate answer is preferred to a more complete one later. At any time, it ends once no part
/// is pending or the minimum is out of reach.
fn is_decided(exchange: &Exchange, now: Instant) -> bool {
    let has_enough_parts = exchange.answered_count >= exchange.parts_min_count;
    let is_goal_passed = exchange.goal_at.is_none_or(|goal_at| now >= goal_at);
    let is_unattainable =
        exchange.answered_count + exchange.pending_count < exchange.parts_min_count;
    exchange.pending_count == 0 || is_unattainable || (has_enough_parts && is_goal_passed)
}

/// Ends an exchange with the parts that have arrived so far, or else with an error.
pub(crate) fn finish(gateway: &mut Gateway, now: Instant, key: ExchangeKey, out: &mut Vec<Effect>) {
    let Some(mut exchange) = remove_exchange(gateway, now, key) else {
        return;
    };
    let (end, response) = match exchange.records_count {
        Some(records_count) if exchange.answered_count >= exchange.parts_min_count => {
            ("merged", merged_response(&exchange, records_count))
        }
        _ => match exchange.failure.take() {
            Some(reply) if exchange.records_count.is_none() => {
                ("failure-passed", HttpResponse::Proxied(reply))
            }
            _ => {
                let response = match outcome(&exchange, now) {
                    Outcome::NotRun(NotRunReason::RateLimited) => {
                        rate_limited_response(gateway, now, &exchange)
                    }
                    outcome => outcome_response(gateway, outcome),
                };
                ("ended", response)
            }
        },
    };
    let missing_count = exchange.parts.len() as u32 - exchange.answered_count;
    record_end(gateway, now, &exchange, end, missing_count, out);
    respond(gateway, &exchange, response, out);
}

/// Ends every exchange with the parts that have arrived so far, or else with an error.
pub fn finish_all(gateway: &mut Gateway, now: Instant, out: &mut Vec<Effect>) {
    let keys: Vec<ExchangeKey> = gateway.exchanges.keys().collect();
    for key in keys {
        finish(gateway, now, key, out);
    }
}

/// Removes an exchange and abandons its attempts in flight.
pub(crate) fn remove_exchange(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
) -> Option<Exchange> {
    let mut exchange = gateway.exchanges.remove(key)?;
    if let Some(number) = exchange.relay_number {
        pending::remove(&mut gateway.relays, number);
    }
    for part in &exchange.parts {
        abandon_attempts(gateway, now, &part.in_flight);
        let in_flight_count = u32::try_from(part.in_flight.len()).unwrap_or(u32::MAX);
        exchange.evidence.running_count += in_flight_count;
    }
    Some(exchange)
}

/// Returns whether no target can have received any part of an exchange.
fn is_unsent(exchange: &Exchange) -> bool {
    let is_untouched = exchange.parts.iter().all(|part| part.sent_count == 0);
    is_untouched && exchange.answered_count == 0 && exchange.relay.is_none()
}

fn outcome(exchange: &Exchange, now: Instant) -> Outcome {
    if is_unsent(exchange) {
        let reason = if now >= exchange.deadline {
            NotRunReason::Overloaded
        } else if exchange.is_rate_limited {
            NotRunReason::RateLimited
        } else {
            NotRunReason::NoTarget
        };
        return Outcome::NotRun(reason);
    }
    match once::outcome(&exchange.evidence) {
        // The relay that runs the query has not answered yet.
        Outcome::NotRun(NotRunReason::NoTarget) if exchange.relay.is_some() => {
            Outcome::Unknown(UnknownReason::ConnectionLost)
        }
        Outcome::Ran => Outcome::Unknown(UnknownReason::ConnectionLost),
        other => other,
    }
}

fn merged_response(exchange: &Exchange, records_count: u32) -> HttpResponse {
    let mut proofs = Vec::with_capacity(exchange.parts.len());
    let mut bodies = Vec::with_capacity(exchange.parts.len());
    for part in &exchange.parts {
        if let PartState::Answered { proof, body } = &part.state {
            proofs.push(proof.clone());
            bodies.push(&body[..]);
        }
    }
    let missing_count = exchange.parts.len() - proofs.len();
    HttpResponse::Merged {
        missing_count: u32::try_from(missing_count).unwrap_or(u32::MAX),
        body: greatest_records(bodies.into_iter(), records_count),
        proofs,
    }
}

fn outcome_response(gateway: &mut Gateway, outcome: Outcome) -> HttpResponse {
    let is_refusal = matches!(outcome, Outcome::NotRun(reason)
        if !matches!(reason, NotRunReason::UnknownFront | NotRunReason::Unauthenticated));
    let [min, max] = match outcome {
        Outcome::NotRun(NotRunReason::NoTarget) => NO_TARGET_RETRY_AFTER_RANGE,
        _ => RETRY_AFTER_RANGE,
    };
    let retry_after = is_refusal.then(|| gateway.rng.random_range(min..max));
    HttpResponse::Local {
        outcome,
        retry_after,
    }
}

/// Refuses a request with the time after which this instance may send all its parts. The jitter
/// spreads the callers over the time in which as many requests again are permitted.
fn rate_limited_response(gateway: &mut Gateway, now: Instant, exchange: &Exchange) -> HttpResponse {
    let parts = exchange.parts.iter();
    let waits = parts.filter_map(|part| {
        let backoff = stated_backoff::wait(gateway, now, part.service);
        backoff.or_else(|| rate_limit::token_wait(gateway, now, part.service))
    });
    let wait = waits.max().unwrap_or_default().max(RETRY_AFTER_RANGE[0]);
    let jitter = gateway.rng.random_range(1.0..RATE_LIMITED_JITTER_MAX);
    HttpResponse::Local {
        outcome: Outcome::NotRun(NotRunReason::RateLimited),
        retry_after: Some(wait.mul_f64(jitter)),
    }
}

/// Sends the response of an exchange that has ended.
pub(crate) fn respond(
    gateway: &Gateway,
    exchange: &Exchange,
    response: HttpResponse,
    out: &mut Vec<Effect>,
) {
    let is_unsent = is_unsent(exchange);
    send_response(gateway, exchange.requester, response, is_unsent, out);
}

/// Sends a response to the caller or to the peer that relayed the query.
fn send_response(
    gateway: &Gateway,
    requester: Requester,
    response: HttpResponse,
    is_unsent: bool,
    out: &mut Vec<Effect>,
) {
    match requester {
        Requester::Caller(caller) => out.push(Effect::Respond {
            caller,
            response: Box::new(response),
        }),
        Requester::Peer {
            address,
            forward_id,
        } => {
            let message = relay::answer_message(gateway, forward_id, response, is_unsent);
            out.push(Effect::Send { address, message });
        }
    }
}

/// Counts and logs the end of an exchange, and records its duration.
pub(crate) fn record_end(
    gateway: &Gateway,
    now: Instant,
    exchange: &Exchange,
    end: &str,
    missing_count: u32,
    out: &mut Vec<Effect>,
) {
    let front = gateway.catalog.fronts.get(exchange.front);
    let missing = exchange.parts.iter();
    let missing = missing.filter(|part| !matches!(part.state, PartState::Answered { .. }));
    let names = missing.take(MISSING_LOGGED_MAX_COUNT);
    let names = names.filter_map(|part| {
        let service = gateway.catalog.services.get(part.service)?;
        let targets = part.tried.iter();
        let targets = targets.filter_map(|&target| gateway.catalog.targets.get(target));
        let targets: Vec<&str> = targets.map(|target| &*target.id).collect();
        Some(format!("{}:{}", service.name, targets.join("/")))
    });
    let names: Vec<String> = names.collect();
    let counter = match (end, missing_count) {
        ("passed" | "merged" | "relayed", 0) => Counter::CompleteAnswers,
        ("merged" | "relayed", _) => Counter::PartialAnswers,
        _ => Counter::FailedAnswers,
    };
    out.push(Effect::Count {
        counter,
        amount_count: 1,
    });
    out.push(Effect::RecordTiming {
        timing: Timing::Request,
        took: now.saturating_duration_since(exchange.arrived_at),
    });
    let mut line = LogLine::new(Level::Info, "request-ended")
        .with("request_id", exchange.request.request_id.as_str())
        .with("front", front.map_or("", |front| &*front.name))
        .with("version", exchange.version)
        .with("end", end)
        .with("took_ms", elapsed_ms(now, exchange.arrived_at))
        .with("parts_count", exchange.parts.len() as u64)
        .with("missing_count", u64::from(missing_count))
        .with("extra_count", u64::from(exchange.extra_count));
    if exchange.is_rate_limited {
        line = line.with("is_rate_limited", 1);
    }
    if let Some(relay) = &exchange.relay {
        line = line.with("relay", relay.address.to_string().as_str());
    } else if missing_count > 0 {
        line = line.with("missing", names.join(",").as_str());
    }
    out.push(Effect::Log(line));
}
