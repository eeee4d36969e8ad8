//! Messages from other instances.

use std::{net::SocketAddr, time::Instant};

use model::{Effect, Level, LogLine, Message};
use pending::Requests;

use crate::{State, completion, forward, gateway, observations, platform, quota, store_era};

/// Handles one message.
pub(crate) fn on_message(
    state: &mut State,
    now: Instant,
    message: &Message,
    out: &mut Vec<Effect>,
) {
    match message {
        Message::Digest(digest) => {
            let from = &digest.from.id.name;
            observations::merge(state, now, from, &digest.observations, out);
            let observations = observations::collect(state, now);
            fleet::on_digest(
                &mut state.fleet,
                &state.settings,
                now,
                digest,
                &observations,
                out,
            );
            store_era::update(state, now, out);
            platform::confine_to_allowed_zones(state, now);
        }
        Message::NoteWanted {
            reply_to,
            at_least_revision,
        } => fleet::on_note_request(&state.fleet, *reply_to, *at_least_revision, out),
        Message::Note { body, .. } => {
            let fleet = &mut state.fleet;
            let accepted = fleet::on_peer_note(fleet, &state.settings, now, body, out);
            if accepted.is_some() {
                platform::apply_configuration(state, now, out);
            }
        }
        Message::Forward(forwarded) => forward::on_forwarded_request(state, now, forwarded, out),
        Message::ForwardAnswer {
            forward_id,
            answered_by,
            answer,
        } => {
            if let Some(wait) = accept(&state.once.forwards, *answered_by, *forward_id, out) {
                forward::on_answer(state, wait, answer, out);
            }
        }
        Message::Relay(request) => gateway::on_relay_request(state, now, request, out),
        Message::RelayTaken { .. }
        | Message::RelayGranted { .. }
        | Message::RelayCancel { .. }
        | Message::RelayAnswer { .. } => on_relay_message(state, now, message, out),
        Message::PermitsWanted { .. }
        | Message::PermitsGranted { .. }
        | Message::PermitsReturned { .. } => quota::on_message(state, now, message, out),
        // The shell decodes the body and delivers it as `Event::SharedStoreChanges`.
        Message::StoreChanges(_) => {}
    }
}

/// Returns what waits for a reply. A late, doubled or foreign reply is counted and logged.
fn accept<T: Copy>(
    requests: &Requests<T>,
    answered_by: Option<SocketAddr>,
    number: u64,
    out: &mut Vec<Effect>,
) -> Option<T> {
    let waiting = pending::accept(requests, answered_by, number).copied();
    if waiting.is_none() {
        completion::count_stale_reply(out);
        let sender = answered_by.map_or_else(String::new, |address| address.to_string());
        let line = LogLine::new(Level::Debug, "reply-unmatched").with("instance", sender.as_str());
        out.push(Effect::Log(line.with("number", number)));
    }
    waiting
}

fn on_relay_message(state: &mut State, now: Instant, message: &Message, out: &mut Vec<Effect>) {
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    match message {
        Message::RelayTaken {
            relay_id,
            answered_by,
        } => {
            if let Some(key) = accept(&gateway.relays, *answered_by, *relay_id, out) {
                ::gateway::on_relay_accepted(gateway, key, out);
            }
        }
        Message::RelayGranted { reply_to, relay_id } => {
            ::gateway::on_relay_granted(gateway, now, *reply_to, *relay_id, out);
        }
        Message::RelayCancel { reply_to, relay_id } => {
            ::gateway::on_relay_cancel(gateway, now, *reply_to, *relay_id, out);
        }
        Message::RelayAnswer {
            relay_id,
            answered_by,
            answer,
            is_unsent,
            is_unexecuted,
        } => {
            let answer = ::gateway::RelayAnswer {
                merged: answer.as_ref(),
                is_unsent: *is_unsent,
                is_unexecuted: *is_unexecuted,
            };
            if let Some(key) = accept(&gateway.relays, *answered_by, *relay_id, out) {
                ::gateway::on_relay_answer(gateway, now, key, &answer, out);
            }
        }
        _ => {}
    }
}

/// Handles an instance that cannot be reached.
pub(crate) fn on_unreachable(
    state: &mut State,
    now: Instant,
    address: SocketAddr,
    out: &mut Vec<Effect>,
) {
    forward::on_owner_unreachable(state, address, out);
    if let Some(gateway) = &mut state.gateway {
        ::gateway::on_relay_unreachable(gateway, now, address, out);
    }
    quota::on_unreachable(state, now, address, out);
    fleet::on_peer_unreachable(&mut state.fleet, now, address, out);
}
