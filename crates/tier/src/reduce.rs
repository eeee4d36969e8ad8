//! Dispatch of events to the modules and crates that handle them.

use std::time::Instant;

use catalog::{FailedRead, SharedChanges, StoreAnswer};
use model::{Effect, Event, Requester, Timer};

use crate::{
    State, completion, gateway, late_call, peer, platform, quarantine, reload, request, shutdown,
    tick, ticket,
};

/// Applies one event to the state and appends the resulting effects to `out`.
pub fn reduce(state: &mut State, now: Instant, event: Event<'_>, out: &mut Vec<Effect>) {
    tick::detect_pause(state, now, out);
    match event {
        Event::Started => {
            tick::on_start(state, now, out);
            fleet::start_join(&mut state.fleet, &state.settings, now, out);
            gateway::on_start(state, now, out);
        }
        Event::Request { caller, request } => {
            request::on_request(state, now, Requester::Caller(caller), &request, out);
        }
        Event::TicketsRequested { caller, count } => ticket::issue(state, now, caller, count, out),
        Event::CallerGone { caller } => {
            request::on_caller_gone(state, now, caller, out);
            gateway::on_caller_gone(state, now, caller, out);
        }
        Event::Reply { call, reply } => {
            late_call::on_reply(state, now, call, &reply, out);
            quarantine::on_reply(state, now, call, reply.status, out);
            let finished = query::on_reply(
                &mut state.queries,
                &mut state.routes,
                now,
                call,
                &reply,
                out,
            );
            completion::complete_queries(state, now, finished, out);
        }
        Event::CallFailed { call, failure } => {
            late_call::on_failure(state, now, call, failure, out);
            quarantine::on_failure(state, now, call, failure, out);
            let finished = query::on_call_failure(
                &mut state.queries,
                &mut state.routes,
                now,
                call,
                failure,
                out,
            );
            completion::complete_queries(state, now, finished, out);
        }
        Event::Load { target, report } => {
            route::record_probe_reply(&mut state.routes, now, target, &report);
        }
        Event::LoadFailed { target, .. } => {
            route::record_probe_failure(&mut state.routes, now, target)
        }
        Event::Timer(timer) => on_timer(state, now, timer, out),
        Event::Peer { message } => peer::on_message(state, now, &message, out),
        Event::PeerUnreachable { address } => peer::on_unreachable(state, now, address, out),
        Event::PlatformNote { version, body } => {
            platform::on_published_note(state, now, version, body, out)
        }
        Event::PlatformInstances { body } => platform::on_instance_list(state, now, body, out),
        Event::PlatformFailed { read, .. } => platform::on_read_failure(state, now, read, out),
        Event::HttpRequest { caller, request } => {
            gateway::on_request(state, now, caller, request, out);
        }
        Event::AttemptReplied { attempt, reply } => {
            gateway::on_attempt_reply(state, now, attempt, &reply, out);
        }
        Event::AttemptFailed { attempt, failure } => {
            gateway::on_attempt_failure(state, now, attempt, failure, out);
        }
        Event::StoreAnswered {
            read,
            era,
            records,
            revision,
            is_behind,
            next_page,
            published,
        } => {
            let answer = StoreAnswer {
                read: &read,
                era,
                records: &records,
                revision,
                is_behind,
                next_page: next_page.as_deref(),
            };
            gateway::on_store_answer(state, now, &answer, &published.0, out);
        }
        Event::SharedStoreChanges {
            area,
            era,
            after_revision,
            revision,
            records,
        } => {
            let shared = SharedChanges {
                area,
                era,
                after_revision,
                revision,
                records: &records,
            };
            gateway::on_shared_changes(state, now, &shared, out);
        }
        Event::StoreFailed { read, failure, era } => {
            let read = &read;
            let failed = FailedRead { read, failure, era };
            gateway::on_store_read_failure(state, now, &failed, out);
        }
        Event::SettingsRead { document } => reload::on_settings_read(state, document, out),
        Event::ShutdownRequested => shutdown::on_shutdown_request(state, now, out),
    }
}

fn on_timer(state: &mut State, now: Instant, timer: Timer, out: &mut Vec<Effect>) {
    match timer {
        Timer::Deadline(key) => request::end_query(state, now, key, out),
        Timer::Hedge(key) => request::on_hedge_timer(state, now, key, out),
        Timer::Wait(key) => ticket::end_wait(state, key, out),
        Timer::Tick => tick::on_tick(state, now, out),
        Timer::Exchange(key) => gateway::on_exchange_timer(state, now, key, out),
        Timer::Permit(caller) => gateway::on_permit_timer(state, now, caller, out),
        Timer::Store(area) => gateway::on_store_timer(state, now, area, out),
        Timer::Platform => fleet::start_due_reads(&mut state.fleet, &state.settings, now, out),
    }
}
