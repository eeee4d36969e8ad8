//! Messages of other instances.

use std::{net::SocketAddr, time::Instant};

use model::{Effect, Message};

use crate::{State, forward, gateway, platform, poison};

/// Takes in one message.
pub(crate) fn received(state: &mut State, now: Instant, message: &Message, out: &mut Vec<Effect>) {
    match message {
        Message::Digest(digest) => {
            poison::merge(state, now, &digest.quarantine);
            let rows = poison::rows(state, now);
            fleet::digest_received(&mut state.fleet, &state.settings, now, digest, &rows, out);
            platform::confine(state, now);
        }
        Message::NoteWanted {
            reply_to,
            at_least_revision,
        } => fleet::note_wanted(&state.fleet, *reply_to, *at_least_revision, out),
        Message::Note { body, .. } => {
            let fleet = &mut state.fleet;
            let accepted = fleet::note_received(fleet, &state.settings, now, body, out);
            if accepted.is_some() {
                platform::put_in_force(state, now, out);
            }
        }
        Message::Forward(forwarded) => forward::received(state, now, forwarded, out),
        Message::ForwardAnswer { forward_id, answer } => {
            forward::answered(state, *forward_id, answer, out);
        }
        Message::Relay(request) => gateway::relayed(state, now, request, out),
        Message::RelayTaken { .. } | Message::RelayCancel { .. } | Message::RelayAnswer { .. } => {
            relay_news(state, now, message, out)
        }
        // The shell decodes what was published and passes it on as an event of the store.
        Message::StoreChanges(_) => {}
    }
}

fn relay_news(state: &mut State, now: Instant, message: &Message, out: &mut Vec<Effect>) {
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    match message {
        Message::RelayTaken { relay_id } => ::gateway::relay_taken(gateway, *relay_id),
        Message::RelayCancel { reply_to, relay_id } => {
            ::gateway::relay_cancelled(gateway, now, *reply_to, *relay_id, out);
        }
        Message::RelayAnswer {
            relay_id,
            answer,
            is_unsent,
        } => {
            let answer = answer.as_ref();
            ::gateway::relay_answered(gateway, now, *relay_id, answer, *is_unsent, out);
        }
        _ => {}
    }
}

/// Takes in that an instance cannot be reached.
pub(crate) fn unreachable(
    state: &mut State,
    now: Instant,
    address: SocketAddr,
    out: &mut Vec<Effect>,
) {
    forward::unreachable(state, address, out);
    if let Some(gateway) = &mut state.gateway {
        ::gateway::relay_unreachable(gateway, now, address, out);
    }
    fleet::peer_unreachable(&mut state.fleet, now, address, out);
}
