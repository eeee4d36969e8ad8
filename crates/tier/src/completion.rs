//! Completion of queries: answers are sent and queued queries are started.

use std::{net::SocketAddr, time::Instant};

use admit::Dequeued;
use model::{Answer, Counter, Effect, Message, NotRunReason, Requester};
use query::FinishedQuery;

use crate::{State, quarantine, request, ticket};

/// Answers `finished` and the queries that ended with it, and starts queued queries of their
/// fronts up to the concurrency limit.
pub(crate) fn complete_queries(
    state: &mut State,
    now: Instant,
    finished: Option<FinishedQuery>,
    out: &mut Vec<Effect>,
) {
    let mut next = finished.or_else(|| state.queries.finished.pop());
    while let Some(finished) = next {
        let front = finished.front.clone();
        complete_query(state, now, finished, out);
        start_queued_queries(state, now, &front, out);
        next = state.queries.finished.pop();
    }
}

fn complete_query(state: &mut State, now: Instant, finished: FinishedQuery, out: &mut Vec<Effect>) {
    let admission = &mut state.admission;
    admit::record_completion(admission, now, &finished.front, finished.run_time);
    answer_query(state, finished, out);
}

/// Answers a query and, if it has a ticket, every waiting resend of it.
pub(crate) fn answer_query(state: &mut State, finished: FinishedQuery, out: &mut Vec<Effect>) {
    ticket::store_query_outcome(state, &finished, out);
    let own_address = state.settings.listen.peers;
    send_answer(own_address, finished.requester, finished.answer, out);
}

/// Sends an answer to the caller or to the instance that forwarded the request.
///
/// `answered_by` is the peer address of this instance.
pub(crate) fn send_answer(
    answered_by: SocketAddr,
    requester: Requester,
    answer: Answer,
    out: &mut Vec<Effect>,
) {
    let answer = Box::new(answer);
    match requester {
        Requester::Caller(caller) => out.push(Effect::Answer { caller, answer }),
        Requester::Peer {
            address,
            forward_id,
        } => {
            let message = Message::ForwardAnswer {
                forward_id,
                answered_by: Some(answered_by),
                answer,
            };
            out.push(Effect::Send { address, message });
        }
    }
}

/// Counts a reply that matches no waiting request.
pub(crate) fn count_stale_reply(out: &mut Vec<Effect>) {
    out.push(Effect::Count {
        counter: Counter::StaleReplies,
        amount_count: 1,
    });
}

/// Starts queued queries of a front up to its concurrency limit.
///
/// A dequeued query is refused if it cannot meet its deadline or has been quarantined meanwhile.
pub(crate) fn start_queued_queries(
    state: &mut State,
    now: Instant,
    front: &str,
    out: &mut Vec<Effect>,
) {
    loop {
        let settings = &state.settings.admit;
        let Some(next) = admit::dequeue(&mut state.admission, settings, now, front) else {
            return;
        };
        let key = match next {
            Dequeued::Start(key) => key,
            Dequeued::Refuse(key) => {
                request::refuse_query(state, key, NotRunReason::Overloaded, out);
                continue;
            }
        };
        if quarantine::is_query_quarantined(state, now, key) {
            request::refuse_query(state, key, NotRunReason::Quarantined, out);
            admit::cancel_start(&mut state.admission, front);
            continue;
        }
        let finished = query::start(&mut state.queries, &mut state.routes, now, key, out);
        if let Some(finished) = finished {
            complete_query(state, now, finished, out);
        }
    }
}
