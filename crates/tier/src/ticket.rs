//! Requests that run at most once: tickets, resends and outcomes.

use std::time::Instant;

use model::{
    Answer, CallerKey, Coverage, Effect, Outcome, RequestView, Requester, Timer, UnknownReason,
    WaitKey,
};
use once::{Verdict, Wait};
use query::Finished;

use crate::{State, forward, settle};

/// Hands out tickets, or none if the instance is shutting down.
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

/// Tells whether a request may run now under its ticket; otherwise its answer is under way.
pub(crate) fn admit(
    state: &mut State,
    now: Instant,
    requester: Requester,
    request: &RequestView<'_>,
    ticket: &str,
    out: &mut Vec<Effect>,
) -> bool {
    let fingerprint = once::fingerprint(request.front, request.service, request.body);
    let settings = &state.settings.once;
    let verdict = once::offer(&mut state.once, settings, now, ticket, fingerprint);
    let request_id = request.request_id;
    match verdict {
        Verdict::Run => return true,
        Verdict::Ended(held) => {
            let answer = Answer {
                request_id: request_id.to_owned(),
                ..held.clone()
            };
            settle::send(requester, answer, out);
        }
        Verdict::Running => {
            let wait = wait(state, requester, request, None, out);
            once::wait(&mut state.once, ticket, wait);
        }
        Verdict::Elsewhere(owner) => forward::send(state, requester, request, ticket, owner, out),
        Verdict::Refuse(outcome) => settle::send(requester, bare(request_id, outcome), out),
    }
    false
}

/// Stores the outcome of a ticket's request and answers the resends that wait for it.
pub(crate) fn ended(state: &mut State, ticket: &str, answer: &Answer, out: &mut Vec<Effect>) {
    let settings = &state.settings.once;
    let waits = once::ended(&mut state.once, settings, ticket, answer);
    for key in waits {
        let Some(wait) = state.once.waits.remove(key) else {
            continue;
        };
        let answer = Answer {
            request_id: wait.request_id,
            ..answer.clone()
        };
        settle::send(wait.requester, answer, out);
    }
}

/// Stores a requester that waits for the outcome of a ticket, and sets the timer of its deadline.
pub(crate) fn wait(
    state: &mut State,
    requester: Requester,
    request: &RequestView<'_>,
    forwarded_to: Option<std::net::SocketAddr>,
    out: &mut Vec<Effect>,
) -> WaitKey {
    let key = state.once.waits.insert(Wait {
        requester,
        request_id: request.request_id.to_owned(),
        forwarded_to,
    });
    let query = &state.settings.query;
    let timeout = request.timeout.min(query.timeout_max);
    out.push(Effect::SetTimer {
        timer: Timer::Wait(key),
        after: timeout.saturating_sub(query.answer_reserve),
    });
    key
}

/// Answers a requester that has waited until its deadline.
pub(crate) fn wait_over(state: &mut State, key: WaitKey, out: &mut Vec<Effect>) {
    let Some(wait) = state.once.waits.remove(key) else {
        return;
    };
    let reason = match wait.forwarded_to {
        Some(_) => UnknownReason::OwnerGone,
        None => UnknownReason::InProgress,
    };
    let answer = bare(&wait.request_id, Outcome::Unknown(reason));
    settle::send(wait.requester, answer, out);
}

/// Returns an answer that carries only an outcome.
pub(crate) fn bare(request_id: &str, outcome: Outcome) -> Answer {
    Answer {
        request_id: request_id.to_owned(),
        outcome,
        snapshot: None,
        coverage: Coverage::default(),
        results: Vec::new(),
    }
}

/// Notes the end of a query if it ran under a ticket.
pub(crate) fn finished(state: &mut State, finished: &Finished, out: &mut Vec<Effect>) {
    let Some(ticket) = &finished.ticket else {
        return;
    };
    ended(state, ticket, &finished.answer, out);
}
