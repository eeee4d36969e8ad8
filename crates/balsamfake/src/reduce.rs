//! The reducer: dispatches each event to its handler.

use std::time::Instant;

use crate::{
    control,
    effect::{Effect, Reply},
    event::{Event, TargetKey},
    lifecycle, platform,
    state::{State, Watch},
    target,
};

/// Applies an event to the state and appends the resulting effects.
pub fn reduce(state: &mut State, now: Instant, event: Event<'_>, out: &mut Vec<Effect>) {
    match event {
        Event::Started => {
            let targets: Vec<TargetKey> = state.targets.keys().collect();
            for target in targets {
                lifecycle::listen(state, target, out);
            }
        }
        Event::ConnectionOpened { connection, target } => {
            lifecycle::accept_connection(state, connection, target, out);
        }
        Event::ConnectionClosed { connection } => {
            state.connections.remove(connection);
        }
        Event::CallReceived {
            request,
            target,
            call,
        } => {
            target::receive_call(state, now, request, target, &call, out);
        }
        Event::CancelRequested {
            request,
            target,
            call_id,
        } => {
            target::cancel_call(state, now, target, call_id, out);
            let reply = Reply::Done;
            out.push(Effect::Reply { request, reply });
        }
        Event::LoadRequested { request, target } => out.push(match state.targets.get(target) {
            Some(target) if !target.behaviour.is_silent => Effect::Reply {
                request,
                reply: Reply::Load(target::load_report(target)),
            },
            Some(_) => return,
            None => Effect::DropRequest { request },
        }),
        Event::ExecutionFinished { request } => target::finish_execution(state, now, request, out),
        Event::RestartDue { target } => lifecycle::restart(state, target, out),
        Event::WatchRequested {
            request,
            reader,
            after_version,
            wait,
        } => {
            let watch = Watch {
                request,
                reader: reader.to_owned(),
                after_version,
            };
            platform::handle_watch(&mut state.platform, now, watch, wait, out);
        }
        Event::WatchExpired { request } => {
            platform::expire_watch(&mut state.platform, request, out);
        }
        Event::InstancesRequested { request, reader } => {
            platform::read_instances(&mut state.platform, now, request, reader, out);
        }
        Event::InstancesLagElapsed => platform::activate_instances(&mut state.platform),
        Event::CommandReceived { request, command } => {
            let reply = control::execute(state, command, out);
            out.push(Effect::Reply { request, reply });
        }
    }
}
