//! The dispatch of events to the areas.

use std::time::Instant;

use catalog::{Answered, Shared};
use model::{Effect, Event, Requester, Timer};

use crate::{
    State, gateway, late, leave, peer, platform, poison, reload, request, settle, tick, ticket,
};

/// Takes in one event at a time and appends the effects that follow from it.
pub fn reduce(state: &mut State, now: Instant, event: Event<'_>, out: &mut Vec<Effect>) {
    tick::notice_pause(state, now, out);
    match event {
        Event::Started => {
            tick::started(state, now, out);
            fleet::started(&mut state.fleet, &state.settings, now, out);
            gateway::started(state, now, out);
        }
        Event::Request { caller, request } => {
            request::offered(state, now, Requester::Caller(caller), &request, out);
        }
        Event::TicketsWanted { caller, count } => ticket::issue(state, now, caller, count, out),
        Event::CallerGone { caller } => {
            request::caller_gone(state, now, caller, out);
            gateway::caller_gone(state, now, caller, out);
        }
        Event::Reply { call, reply } => {
            late::replied(state, call, &reply);
            poison::replied(state, call, reply.status);
            let finished = query::replied(
                &mut state.queries,
                &mut state.routes,
                now,
                call,
                &reply,
                out,
            );
            settle::settle(state, now, finished, out);
        }
        Event::CallFailed { call, failure } => {
            late::call_failed(state, now, call, failure, out);
            poison::call_failed(state, now, call, failure, out);
            let finished = query::call_failed(
                &mut state.queries,
                &mut state.routes,
                now,
                call,
                failure,
                out,
            );
            settle::settle(state, now, finished, out);
        }
        Event::Load { target, report } => {
            route::probe_answered(&mut state.routes, now, target, &report);
        }
        Event::LoadFailed { target, .. } => route::probe_failed(&mut state.routes, now, target),
        Event::Timer(timer) => timer_due(state, now, timer, out),
        Event::Peer { message } => peer::received(state, now, &message, out),
        Event::PeerUnreachable { address } => peer::unreachable(state, now, address, out),
        Event::PlatformNote { version, body } => platform::note(state, now, version, body, out),
        Event::PlatformInstances { body } => platform::instances(state, now, body, out),
        Event::PlatformFailed { read, .. } => platform::failed(state, now, read, out),
        Event::HttpRequest { caller, request } => {
            gateway::offered(state, now, caller, request, out);
        }
        Event::AttemptReplied { attempt, reply } => {
            gateway::replied(state, now, attempt, &reply, out);
        }
        Event::AttemptFailed { attempt, failure } => {
            gateway::failed(state, now, attempt, failure, out);
        }
        Event::StoreAnswered {
            read,
            records,
            revision,
            is_behind,
            next_page,
            published,
        } => {
            let answer = Answered {
                read: &read,
                records: &records,
                revision,
                is_behind,
                next_page: next_page.as_deref(),
            };
            gateway::store_answered(state, now, &answer, &published, out);
        }
        Event::StoreShared {
            area,
            after_revision,
            revision,
            records,
        } => {
            let shared = Shared {
                area,
                after_revision,
                revision,
                records: &records,
            };
            gateway::store_shared(state, now, &shared, out);
        }
        Event::StoreFailed { read, failure } => {
            gateway::store_failed(state, &read, failure, out);
        }
        Event::SettingsRead { document } => reload::settings_read(state, document, out),
        Event::Leave => leave::wanted(state, now, out),
    }
}

fn timer_due(state: &mut State, now: Instant, timer: Timer, out: &mut Vec<Effect>) {
    match timer {
        Timer::Deadline(key) => request::deadline(state, now, key, out),
        Timer::Hedge(key) => request::hedge(state, now, key, out),
        Timer::Wait(key) => ticket::wait_over(state, key, out),
        Timer::Tick => tick::due(state, now, out),
        Timer::Exchange(key) => gateway::exchange_due(state, now, key, out),
        Timer::Store(area) => gateway::store_due(state, now, area, out),
        Timer::Platform => fleet::platform_due(&mut state.fleet, &state.settings, now, out),
    }
}
