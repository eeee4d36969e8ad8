//! Relaying of queries over many services: a larger instance of the zone, the relay, runs them on
//! behalf of a smaller one.
//!
//! Sending a request to a hundred targets and reading their replies takes an instance with an
//! eighth of a core longer than the latency goal of a query. A larger instance of the same zone
//! does it in a quarter of the time, and has open connections and recent health data because it
//! runs such queries often.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{
    Effect, ExchangeKey, HttpRequest, HttpResponse, Level, LogLine, MergedAnswer, Message,
    NotRunReason, Outcome, RelayedRequest, Requester,
};
use rand::seq::IndexedRandom;

use crate::{
    Exchange, Gateway, Relay, access,
    completion::{cancel_exchange, send_queued_parts},
    request::{GoalSource, NewExchange, create_exchange, run_locally},
    respond::{finish, record_end, refuse_relayed, remove_exchange, respond},
};

/// Minimum number of parts of a relayed query; below it, relaying costs more than it saves.
const RELAY_PARTS_MIN_COUNT: usize = 24;
/// Time in which the relay has to confirm that it has started the query.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(15);
/// Time reserved for sending the answer back and passing it on to the caller.
const RETURN_RESERVE: Duration = Duration::from_millis(5);
/// Backoff of a relay that refused a query, did not confirm it in time, or was unreachable.
const RELAY_BACKOFF: Duration = Duration::from_secs(2);

/// Relays a large query if a relay is available; returns whether it did.
pub(crate) fn try_relay(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    out: &mut Vec<Effect>,
) -> bool {
    let exchange = &gateway.exchanges[key];
    let is_gathering = exchange.records_count.is_some();
    if !is_gathering || exchange.parts.len() < RELAY_PARTS_MIN_COUNT {
        return false;
    }
    gateway.relay_backoffs.retain(|_, until| now < *until);
    let candidates = gateway.relay_candidates.iter();
    let usable = candidates.filter(|address| !gateway.relay_backoffs.contains_key(address));
    let usable: Vec<SocketAddr> = usable.copied().collect();
    let Some(&address) = usable.choose(&mut gateway.rng) else {
        return false;
    };
    let time_left = |at: Instant| {
        let left = at.saturating_duration_since(now);
        left.saturating_sub(RETURN_RESERVE)
    };
    let request = HttpRequest {
        timeout: Some(time_left(exchange.deadline)),
        ..HttpRequest::clone(&exchange.request)
    };
    let attempts_count = handed_over_count(exchange.attempts_max_count);
    let number = pending::register(&mut gateway.relays, address, key);
    let relayed = RelayedRequest {
        reply_to: gateway.settings.peers,
        relay_id: number,
        version: exchange.version,
        request: Arc::new(request),
        goal: exchange.goal_at.map(time_left),
        attempts_max_count: Some(attempts_count),
    };
    let exchange = &mut gateway.exchanges[key];
    exchange.relay_number = Some(number);
    exchange.relay = Some(Relay {
        address,
        accept_deadline: Some(now + ACCEPT_TIMEOUT),
        attempts_count,
    });
    out.push(Effect::Send {
        address,
        message: Message::Relay(relayed),
    });
    true
}

/// Returns how many attempts of each part go to the relay with the query. One stays here until the
/// relay confirms, so that the query can still run here if it does not.
fn handed_over_count(attempts_max_count: u32) -> u32 {
    attempts_max_count.saturating_sub(1).max(1)
}

/// Handles a relay's confirmation that it has started a query: it is granted the attempts that were
/// held back, unless the query has been taken back meanwhile.
pub fn on_relay_accepted(gateway: &mut Gateway, key: ExchangeKey, out: &mut Vec<Effect>) {
    let Some(exchange) = gateway.exchanges.get_mut(key) else {
        return;
    };
    let (Some(relay), Some(relay_id)) = (&mut exchange.relay, exchange.relay_number) else {
        return;
    };
    if relay.accept_deadline.take().is_some() {
        out.push(Effect::Send {
            address: relay.address,
            message: Message::RelayGranted {
                reply_to: gateway.settings.peers,
                relay_id,
            },
        });
    }
}

/// Handles the grant of all attempts of a query that this instance runs for another one.
pub fn on_relay_granted(
    gateway: &mut Gateway,
    now: Instant,
    reply_to: SocketAddr,
    id: u64,
    out: &mut Vec<Effect>,
) {
    let requester = Requester::Peer {
        address: reply_to,
        forward_id: id,
    };
    let mut exchanges = gateway.exchanges.values_mut();
    let Some(exchange) = exchanges.find(|exchange| exchange.requester == requester) else {
        return;
    };
    exchange.attempts_max_count += std::mem::take(&mut exchange.attempts_withheld_count);
    send_queued_parts(gateway, now, out);
}

/// A relay's answer to a query.
#[derive(Clone, Copy, Debug)]
pub struct RelayAnswer<'a> {
    /// The results; `None` if the query was not run or failed.
    pub merged: Option<&'a MergedAnswer>,
    /// Whether no target can have received the query, so that it may run here.
    pub is_unsent: bool,
    /// Whether no target has executed the query.
    pub is_unexecuted: bool,
}

/// Handles a relay's answer.
pub fn on_relay_answer(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    answer: &RelayAnswer<'_>,
    out: &mut Vec<Effect>,
) {
    let Some(exchange) = gateway.exchanges.get(key) else {
        return;
    };
    let is_waiting = exchange.relay.is_some();
    match answer.merged {
        Some(merged) => {
            let Some(exchange) = remove_exchange(gateway, now, key) else {
                return;
            };
            record_end(
                gateway,
                now,
                &exchange,
                "relayed",
                merged.missing_count,
                out,
            );
            let response = HttpResponse::Merged {
                proofs: merged.proofs.clone(),
                missing_count: merged.missing_count,
                body: merged.body.clone(),
            };
            respond(gateway, &exchange, response, out);
        }
        None if is_waiting && answer.is_unsent => {
            if let Some(relay) = exchange.relay {
                back_off(gateway, now, relay.address, "refused", out);
            }
            reclaim(gateway, now, key, true, out);
        }
        None if is_waiting => finish_relayed(gateway, now, key, answer.is_unexecuted, out),
        None => {}
    }
}

/// Puts a relay that has not confirmed an exchange in time in backoff, and runs the exchange here
/// with the attempts that are left.
pub(crate) fn on_accept_timeout(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    address: SocketAddr,
    out: &mut Vec<Effect>,
) {
    back_off(gateway, now, address, "not-taken", out);
    gateway.unanswered_peers.insert(address);
    reclaim(gateway, now, key, false, out);
}

/// Ends an exchange whose relay has not answered by the deadline.
pub(crate) fn on_relay_deadline(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    relay: &Relay,
    out: &mut Vec<Effect>,
) {
    if let Some(exchange) = gateway.exchanges.get(key) {
        send_cancel(gateway, exchange, relay, out);
    }
    finish_relayed(gateway, now, key, false, out);
}

/// Handles an unreachable instance: queries relayed to it run here if it has not confirmed them, and
/// end otherwise.
pub fn on_relay_unreachable(
    gateway: &mut Gateway,
    now: Instant,
    address: SocketAddr,
    out: &mut Vec<Effect>,
) {
    let exchanges = gateway.exchanges.iter();
    let affected = exchanges.filter(|(_, exchange)| {
        let relay = exchange.relay.as_ref();
        relay.is_some_and(|relay| relay.address == address)
    });
    let affected: Vec<ExchangeKey> = affected.map(|(key, _)| key).collect();
    if affected.is_empty() {
        return;
    }
    back_off(gateway, now, address, "unreachable", out);
    for key in affected {
        let relay = gateway
            .exchanges
            .get(key)
            .and_then(|exchange| exchange.relay);
        match relay.and_then(|relay| relay.accept_deadline) {
            Some(_) => reclaim(gateway, now, key, false, out),
            None => finish_relayed(gateway, now, key, false, out),
        }
    }
}

/// Handles a query that another instance relays to this one; `refusal` is the reason to refuse it,
/// if there is one.
pub fn on_relay_request(
    gateway: &mut Gateway,
    now: Instant,
    relayed: &RelayedRequest,
    refusal: Option<NotRunReason>,
    out: &mut Vec<Effect>,
) {
    let requester = Requester::Peer {
        address: relayed.reply_to,
        forward_id: relayed.relay_id,
    };
    let mut exchanges = gateway.exchanges.values();
    if exchanges.any(|exchange| exchange.requester == requester) {
        // The message has arrived twice.
        return;
    }
    let request = &relayed.request;
    // In another version of the configuration, the front may gather from other services.
    let is_same_version = relayed.version == gateway.catalog.version;
    let front = catalog::find_front(&gateway.catalog, &request.host, &request.path);
    let front = front.filter(|_| refusal.is_none() && is_same_version);
    let key = front.and_then(|front| {
        let request = access::accept_relayed(gateway, front, request).ok()?;
        let new = NewExchange {
            requester,
            front,
            request: &request,
            key_hash: None,
            goal: GoalSource::Relayed(relayed.goal.map(|goal| now + goal)),
            attempts_max_count: relayed.attempts_max_count,
            // The instance that relays it has spent the permit.
            permit: None,
            waited: Duration::ZERO,
        };
        create_exchange(gateway, now, &new)
    });
    let Some(key) = key else {
        let reason = refusal.unwrap_or(NotRunReason::Declined);
        return refuse_relayed(gateway, requester, request, reason, out);
    };
    out.push(Effect::Send {
        address: relayed.reply_to,
        message: Message::RelayTaken {
            relay_id: relayed.relay_id,
            answered_by: Some(gateway.settings.peers),
        },
    });
    run_locally(gateway, now, key, out);
}

/// Cancels a relayed query at the request of the instance that relayed it.
pub fn on_relay_cancel(
    gateway: &mut Gateway,
    now: Instant,
    reply_to: SocketAddr,
    id: u64,
    out: &mut Vec<Effect>,
) {
    let requester = Requester::Peer {
        address: reply_to,
        forward_id: id,
    };
    cancel_exchange(gateway, now, requester, out);
}

/// Tells the relay that the answer to a query is no longer needed.
pub(crate) fn send_cancel(
    gateway: &Gateway,
    exchange: &Exchange,
    relay: &Relay,
    out: &mut Vec<Effect>,
) {
    let Some(relay_id) = exchange.relay_number else {
        return;
    };
    out.push(Effect::Send {
        address: relay.address,
        message: Message::RelayCancel {
            reply_to: gateway.settings.peers,
            relay_id,
        },
    });
}

/// Returns the message that answers a relayed query. `is_unsent` states that no target can have
/// received it.
pub(crate) fn answer_message(
    gateway: &Gateway,
    relay_id: u64,
    response: HttpResponse,
    is_unsent: bool,
) -> Message {
    let (answer, is_unexecuted) = match response {
        HttpResponse::Merged {
            proofs,
            missing_count,
            body,
        } => {
            let answer = MergedAnswer {
                proofs,
                missing_count,
                body,
            };
            (Some(answer), false)
        }
        HttpResponse::Local { outcome, .. } => (None, matches!(outcome, Outcome::NotRun(_))),
        HttpResponse::Proxied(_) => (None, false),
    };
    Message::RelayAnswer {
        relay_id,
        answered_by: Some(gateway.settings.peers),
        is_unsent: is_unsent && answer.is_none(),
        answer,
        is_unexecuted,
    }
}

/// Runs an exchange here that the relay has refused or not confirmed.
///
/// Unless the relay has reported the query as unsent, the attempts that were handed over count as
/// used: a further one is subject to the retry budget and to the front's limit of targets.
fn reclaim(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    is_unsent: bool,
    out: &mut Vec<Effect>,
) {
    let Some(exchange) = gateway.exchanges.get_mut(key) else {
        return;
    };
    let Some(relay) = exchange.relay.take() else {
        return;
    };
    if !is_unsent {
        exchange.evidence.lost_count += 1;
        for part in &mut exchange.parts {
            part.sent_count = relay.attempts_count;
        }
        send_cancel(gateway, &gateway.exchanges[key], &relay, out);
    }
    run_locally(gateway, now, key, out);
}

/// Ends an exchange that a relay has started but not answered with results. The relay may have sent
/// it to as many targets as the front allows, so nothing is sent from here.
fn finish_relayed(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    is_unexecuted: bool,
    out: &mut Vec<Effect>,
) {
    if let Some(exchange) = gateway.exchanges.get_mut(key) {
        match is_unexecuted {
            true => exchange.evidence.declined_count += 1,
            false => exchange.evidence.lost_count += 1,
        }
        for part in &mut exchange.parts {
            part.sent_count = exchange.attempts_max_count;
        }
    }
    finish(gateway, now, key, out);
}

fn back_off(
    gateway: &mut Gateway,
    now: Instant,
    address: SocketAddr,
    reason: &str,
    out: &mut Vec<Effect>,
) {
    gateway.relay_backoffs.insert(address, now + RELAY_BACKOFF);
    let line = LogLine::new(Level::Info, "relay-avoided")
        .with("instance", address.to_string().as_str())
        .with("reason", reason);
    out.push(Effect::Log(line));
}
