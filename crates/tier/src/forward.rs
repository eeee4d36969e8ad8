//! Forwarding of requests whose ticket was issued by another instance, the owner of the ticket.
//!
//! Only the owner may answer "not run": another instance cannot know whether an earlier attempt ran
//! the request, even if its own forwarded message was never sent.

use std::{net::SocketAddr, time::Instant};

use model::{
    Answer, Effect, ExecutionKind, ForwardedRequest, Message, Outcome, RequestView, Requester,
    UnknownReason, WaitKey,
};
use once::Forward;

use crate::{State, completion, request, ticket};

/// Answer reserves subtracted from the caller's timeout, one per hop: to the owner, back from it,
/// and to the caller.
const ANSWER_RESERVES_COUNT: u32 = 3;

/// Forwards a request to the owner of its ticket.
pub(crate) fn send_to_owner(
    state: &mut State,
    requester: Requester,
    request: &RequestView<'_>,
    ticket: &str,
    owner: SocketAddr,
    out: &mut Vec<Effect>,
) {
    let is_from_caller = matches!(requester, Requester::Caller(_));
    if !is_from_caller || !fleet::knows_address(&state.fleet, owner) {
        // A forwarded request for another owner is not forwarded again, which rules out loops. The
        // owner's address is caller input until the owner verifies the ticket's seal, so requests
        // are forwarded only to known members.
        let outcome = Outcome::Unknown(UnknownReason::OwnerGone);
        completion::send_answer(
            state.settings.listen.peers,
            requester,
            ticket::answer_without_results(request.request_id, outcome),
            out,
        );
        return;
    }
    let wait = ticket::register_wait(state, requester, request, out);
    let number = pending::register(&mut state.once.forwards, owner, wait);
    state.once.waiters[wait].forward = Some(Forward { owner, number });
    let settings = &state.settings.query;
    let timeout = request.timeout.min(settings.timeout_max);
    let message = Message::Forward(ForwardedRequest {
        reply_to: state.settings.listen.peers,
        forward_id: number,
        request_id: request.request_id.to_owned(),
        front: request.front.to_owned(),
        service: request.service.map(str::to_owned),
        priority: request.priority,
        ticket: ticket.to_owned(),
        timeout: timeout.saturating_sub(ANSWER_RESERVES_COUNT * settings.answer_reserve),
        body: request.body.to_vec().into(),
    });
    out.push(Effect::Send {
        address: owner,
        message,
    });
}

/// Handles a request forwarded by another instance.
pub(crate) fn on_forwarded_request(
    state: &mut State,
    now: Instant,
    forwarded: &ForwardedRequest,
    out: &mut Vec<Effect>,
) {
    let requester = Requester::Peer {
        address: forwarded.reply_to,
        forward_id: forwarded.forward_id,
    };
    let request = RequestView {
        request_id: &forwarded.request_id,
        front: &forwarded.front,
        service: forwarded.service.as_deref(),
        priority: forwarded.priority,
        kind: ExecutionKind::Once {
            ticket: &forwarded.ticket,
        },
        timeout: forwarded.timeout,
        body: &forwarded.body,
    };
    request::on_request(state, now, requester, &request, out);
}

/// Passes the owner's answer to the requester that waits for it.
pub(crate) fn on_answer(state: &mut State, wait: WaitKey, answer: &Answer, out: &mut Vec<Effect>) {
    let Some(waiter) = once::remove_waiter(&mut state.once, wait) else {
        return;
    };
    let answer = Answer {
        request_id: waiter.request_id,
        ..answer.clone()
    };
    completion::send_answer(state.settings.listen.peers, waiter.requester, answer, out);
}

/// Ends every wait for an owner that cannot be reached.
pub(crate) fn on_owner_unreachable(state: &mut State, owner: SocketAddr, out: &mut Vec<Effect>) {
    let waiters = &state.once.waiters;
    let lost = waiters.iter().filter(|(_, waiter)| {
        let forward = waiter.forward.as_ref();
        forward.is_some_and(|forward| forward.owner == owner)
    });
    let lost: Vec<WaitKey> = lost.map(|(key, _)| key).collect();
    for key in lost {
        ticket::end_wait(state, key, out);
    }
}
