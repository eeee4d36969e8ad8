//! What follows the end of a query: its answer, and the start of waiting queries.

use std::time::Instant;

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
        answer(state, finished, out);
        admit::finished(&mut state.admission);
        start_waiting(state, now, out);
        next = state.queries.ended.pop();
    }
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

fn start_waiting(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    while let Some(key) = admit::next(&mut state.admission, &state.settings.admit) {
        if poison::is_query_refused(state, now, key) {
            request::refuse_query(state, key, NotRunReason::Quarantined, out);
            admit::finished(&mut state.admission);
            continue;
        }
        let finished = query::start(&mut state.queries, &mut state.routes, now, key, out);
        let Some(finished) = finished else { continue };
        answer(state, finished, out);
        admit::finished(&mut state.admission);
    }
}
