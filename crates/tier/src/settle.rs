//! What follows the end of a query: its answer, and the start of waiting queries.

use std::time::Instant;

use admit::Next;
use model::{Answer, Counter, Effect, Message, NotRunReason, Requester};
use query::Finished;

use crate::{State, poison, request, ticket};

/// Answers finished queries and starts as many waiting queries as there is room for.
pub(crate) fn settle(
    state: &mut State,
    now: Instant,
    finished: Option<Finished>,
    out: &mut Vec<Effect>,
) {
    let mut next = finished.or_else(|| state.queries.ended.pop());
    while let Some(finished) = next {
        let front = finished.front.clone();
        end(state, now, finished, out);
        start_waiting(state, now, &front, out);
        next = state.queries.ended.pop();
    }
}

fn end(state: &mut State, now: Instant, finished: Finished, out: &mut Vec<Effect>) {
    let admission = &mut state.admission;
    admit::finished(admission, now, &finished.front, finished.ran_for);
    answer(state, finished, out);
}

/// Answers a query and, if it ran under a ticket, every resend that waits.
pub(crate) fn answer(state: &mut State, finished: Finished, out: &mut Vec<Effect>) {
    ticket::finished(state, &finished, out);
    send(finished.requester, finished.answer, out);
}

/// Sends an answer to whoever waits for it.
pub(crate) fn send(requester: Requester, answer: Answer, out: &mut Vec<Effect>) {
    let answer = Box::new(answer);
    match requester {
        Requester::Caller(caller) => out.push(Effect::Answer { caller, answer }),
        Requester::Peer {
            address,
            forward_id,
        } => {
            let message = Message::ForwardAnswer { forward_id, answer };
            out.push(Effect::Send { address, message });
        }
    }
}

/// Counts a reply that belongs to nothing that waits.
pub(crate) fn count_stale(out: &mut Vec<Effect>) {
    out.push(Effect::Count {
        counter: Counter::StaleReplies,
        amount_count: 1,
    });
}

/// Starts as many waiting queries of a front as there is room for.
pub(crate) fn start_waiting(state: &mut State, now: Instant, front: &str, out: &mut Vec<Effect>) {
    loop {
        let settings = &state.settings.admit;
        let Some(next) = admit::next(&mut state.admission, settings, now, front) else {
            return;
        };
        let key = match next {
            Next::Start(key) => key,
            Next::Refuse(key) => {
                request::refuse_query(state, key, NotRunReason::Overloaded, out);
                continue;
            }
        };
        if poison::is_query_refused(state, now, key) {
            request::refuse_query(state, key, NotRunReason::Quarantined, out);
            admit::not_started(&mut state.admission, front);
            continue;
        }
        let finished = query::start(&mut state.queries, &mut state.routes, now, key, out);
        if let Some(finished) = finished {
            end(state, now, finished, out);
        }
    }
}
