//! At-most-once requests: tickets, resends and outcomes.

use std::time::Instant;

use model::{
    Answer, CallerKey, Coverage, Effect, Outcome, RequestView, Requester, Timer, UnknownReason,
    WaitKey,
};
use once::{TicketDecision, Waiter};
use query::FinishedQuery;

use crate::{State, completion, forward};

/// Issues tickets, or none if the instance is shutting down.
pub(crate) fn issue(
    state: &mut State,
    now: Instant,
    caller: CallerKey,
    count: u32,
    out: &mut Vec<Effect>,
) {
    let tickets = if state.fleet.is_leaving {
        Vec::new()
    } else {
        once::issue(&mut state.once, now, count)
    };
    out.push(Effect::Tickets { caller, tickets });
}

/// Redeems a request's ticket; returns whether the request has to run now.
///
/// Otherwise the request has been answered or forwarded to the ticket's owner, or it waits for the
/// outcome of an earlier send.
pub(crate) fn redeem(
    state: &mut State,
    now: Instant,
    requester: Requester,
    request: &RequestView<'_>,
    ticket: &str,
    out: &mut Vec<Effect>,
) -> bool {
    let fingerprint = once::fingerprint(request.front, request.service, request.body);
    let settings = &state.settings.once;
    let decision = once::redeem(&mut state.once, settings, now, ticket, fingerprint);
    let request_id = request.request_id;
    match decision {
        TicketDecision::Run => return true,
        TicketDecision::Ended(held) => {
            let answer = Answer {
                request_id: request_id.to_owned(),
                ..held.clone()
            };
            completion::send_answer(state.settings.listen.peers, requester, answer, out);
        }
        TicketDecision::Running => {
            let wait = register_wait(state, requester, request, out);
            once::add_waiter(&mut state.once, ticket, wait);
        }
        TicketDecision::ForwardTo(owner) => {
            forward::send_to_owner(state, requester, request, ticket, owner, out)
        }
        TicketDecision::Refuse(outcome) => completion::send_answer(
            state.settings.listen.peers,
            requester,
            answer_without_results(request_id, outcome),
            out,
        ),
    }
    false
}

/// Stores the outcome of a ticket's request and answers the resends waiting for it.
pub(crate) fn store_outcome(
    state: &mut State,
    ticket: &str,
    answer: &Answer,
    out: &mut Vec<Effect>,
) {
    let settings = &state.settings.once;
    let waiters = once::store_outcome(&mut state.once, settings, ticket, answer);
    for key in waiters {
        let Some(waiter) = once::remove_waiter(&mut state.once, key) else {
            continue;
        };
        let answer = Answer {
            request_id: waiter.request_id,
            ..answer.clone()
        };
        completion::send_answer(state.settings.listen.peers, waiter.requester, answer, out);
    }
}

/// Registers a requester that waits for the outcome of a ticket of this instance, and sets its
/// deadline timer.
pub(crate) fn register_wait(
    state: &mut State,
    requester: Requester,
    request: &RequestView<'_>,
    out: &mut Vec<Effect>,
) -> WaitKey {
    let key = state.once.waiters.insert(Waiter {
        requester,
        request_id: request.request_id.to_owned(),
        forward: None,
    });
    let query = &state.settings.query;
    let timeout = request.timeout.min(query.timeout_max);
    out.push(Effect::SetTimer {
        timer: Timer::Wait(key),
        after: timeout.saturating_sub(query.answer_reserve),
    });
    key
}

/// Ends a wait without the outcome: at its deadline, or when the ticket's owner cannot be reached.
pub(crate) fn end_wait(state: &mut State, key: WaitKey, out: &mut Vec<Effect>) {
    let Some(waiter) = once::remove_waiter(&mut state.once, key) else {
        return;
    };
    let reason = match waiter.forward {
        Some(_) => UnknownReason::OwnerGone,
        None => UnknownReason::InProgress,
    };
    let answer = answer_without_results(&waiter.request_id, Outcome::Unknown(reason));
    completion::send_answer(state.settings.listen.peers, waiter.requester, answer, out);
}

/// Returns an answer that has an outcome but neither results nor coverage.
pub(crate) fn answer_without_results(request_id: &str, outcome: Outcome) -> Answer {
    Answer {
        request_id: request_id.to_owned(),
        outcome,
        snapshot: None,
        coverage: Coverage::default(),
        results: Vec::new(),
    }
}

/// Stores a finished query's outcome if it has a ticket.
pub(crate) fn store_query_outcome(
    state: &mut State,
    finished: &FinishedQuery,
    out: &mut Vec<Effect>,
) {
    let Some(ticket) = &finished.ticket else {
        return;
    };
    store_outcome(state, ticket, &finished.answer, out);
}
