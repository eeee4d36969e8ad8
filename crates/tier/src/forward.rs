//! Requests whose ticket belongs to another instance.
//!
//! Only the owner of a ticket says "not run" of its request: another instance cannot know what an
//! earlier attempt has done, not even if its own message never left.

use std::{net::SocketAddr, time::Instant};

use model::{
    Answer, Effect, ForwardedRequest, Kind, Message, Outcome, RequestView, Requester,
    UnknownReason, WaitKey,
};
use slotmap::{Key, KeyData};

use crate::{State, request, settle, ticket};

/// Reserves out of the caller's timeout: the way to the owner, the way back, and to the caller.
const RESERVES_COUNT: u32 = 3;

/// Passes a request on to the owner of its ticket.
pub(crate) fn send(
    state: &mut State,
    requester: Requester,
    request: &RequestView<'_>,
    ticket: &str,
    owner: SocketAddr,
    out: &mut Vec<Effect>,
) {
    let is_from_caller = matches!(requester, Requester::Caller(_));
    if !is_from_caller || !fleet::knows_address(&state.fleet, owner) {
        // A forwarded request that is not ours is never forwarded again, so no loop can form. The
        // address is the caller's word until its owner checks the seal, so only members are asked.
        let outcome = Outcome::Unknown(UnknownReason::OwnerGone);
        settle::send(requester, ticket::bare(request.request_id, outcome), out);
        return;
    }
    let wait = ticket::wait(state, requester, request, Some(owner), out);
    let settings = &state.settings.query;
    let timeout = request.timeout.min(settings.timeout_max);
    let message = Message::Forward(ForwardedRequest {
        reply_to: state.settings.listen.peers,
        forward_id: forward_id(state, wait),
        request_id: request.request_id.to_owned(),
        front: request.front.to_owned(),
        service: request.service.map(str::to_owned),
        priority: request.priority,
        ticket: ticket.to_owned(),
        timeout: timeout.saturating_sub(RESERVES_COUNT * settings.answer_reserve),
        body: request.body.to_vec().into(),
    });
    out.push(Effect::Send {
        address: owner,
        message,
    });
}

/// Takes in a request that another instance passed on to this one.
pub(crate) fn received(
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
        kind: Kind::Once {
            ticket: &forwarded.ticket,
        },
        timeout: forwarded.timeout,
        body: &forwarded.body,
    };
    request::offered(state, now, requester, &request, out);
}

/// Takes in the owner's answer.
pub(crate) fn answered(state: &mut State, forward_id: u64, answer: &Answer, out: &mut Vec<Effect>) {
    let key = wait_key(state, forward_id);
    let is_forwarded = |wait: &once::Wait| wait.forwarded_to.is_some();
    if !state.once.waits.get(key).is_some_and(is_forwarded) {
        settle::count_stale(out);
        return;
    }
    let Some(wait) = state.once.waits.remove(key) else {
        return;
    };
    let answer = Answer {
        request_id: wait.request_id,
        ..answer.clone()
    };
    settle::send(wait.requester, answer, out);
}

/// Ends the waiting for an owner that cannot be reached.
pub(crate) fn unreachable(state: &mut State, owner: SocketAddr, out: &mut Vec<Effect>) {
    let waits = &state.once.waits;
    let lost = waits
        .iter()
        .filter(|(_, wait)| wait.forwarded_to == Some(owner));
    let lost: Vec<WaitKey> = lost.map(|(key, _)| key).collect();
    for key in lost {
        ticket::wait_over(state, key, out);
    }
}

fn forward_id(state: &State, wait: WaitKey) -> u64 {
    state.once.forward_base.wrapping_add(wait.data().as_ffi())
}

fn wait_key(state: &State, forward_id: u64) -> WaitKey {
    KeyData::from_ffi(forward_id.wrapping_sub(state.once.forward_base)).into()
}
