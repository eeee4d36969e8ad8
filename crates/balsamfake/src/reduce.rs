//! The reducer of the stand-ins: only dispatch.

use std::time::Instant;

use crate::{
    control,
    effect::{Effect, Reply},
    event::{Event, TargetKey},
    life, platform,
    state::{State, Watch},
    target,
};

/// Takes in one event and appends the effects that follow from it.
pub fn reduce(state: &mut State, now: Instant, event: Event<'_>, out: &mut Vec<Effect>) {
    match event {
        Event::Started => {
            let targets: Vec<TargetKey> = state.targets.keys().collect();
            for target in targets {
                life::listen(state, target, out);
            }
        }
        Event::ConnectionOpened { connection, target } => {
            life::connection_opened(state, connection, target, out);
        }
        Event::ConnectionClosed { connection } => {
            state.connections.remove(connection);
        }
        Event::Call {
            request,
            target,
            call,
        } => {
            target::called(state, now, request, target, &call, out);
        }
        Event::CancelWanted {
            request,
            target,
            call_id,
        } => {
            target::cancelled(state, now, target, call_id, out);
            let reply = Reply::Done;
            out.push(Effect::Reply { request, reply });
        }
        Event::LoadWanted { request, target } => out.push(match state.targets.get(target) {
            Some(target) if !target.behaviour.is_silent => Effect::Reply {
                request,
                reply: Reply::Load(target::load_report(target)),
            },
            Some(_) => return,
            None => Effect::Drop { request },
        }),
        Event::Executed { request } => target::executed(state, now, request, out),
        Event::RestartDue { target } => life::restart(state, target, out),
        Event::Watch {
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
            platform::watched(&mut state.platform, now, watch, wait, out);
        }
        Event::WatchExpired { request } => {
            platform::watch_expired(&mut state.platform, request, out);
        }
        Event::InstancesWanted { request, reader } => {
            platform::instances_wanted(&mut state.platform, now, request, reader, out);
        }
        Event::InstancesDue => platform::instances_due(&mut state.platform),
        Event::Control { request, control } => {
            let reply = control::command(state, control, out);
            out.push(Effect::Reply { request, reply });
        }
    }
}
