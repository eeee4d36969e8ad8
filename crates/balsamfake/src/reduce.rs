//! The reducer of the stand-ins.

use std::time::Duration;

use bytes::Bytes;
use model::ReplyStatus;
use rand::RngExt;

use crate::{
    effect::Effect,
    event::{Event, RequestKey},
    state::{Call, State, load_report},
};

/// Takes in one event and appends the effects that follow from it.
pub fn reduce(state: &mut State, event: Event<'_>, out: &mut Vec<Effect>) {
    match event {
        Event::Call {
            request,
            target,
            snapshot,
            body,
        } => {
            call(state, request, target, snapshot, body, out);
        }
        Event::LoadWanted { request, target } => match state.targets.get(target) {
            Some(target) => out.push(Effect::Load {
                request,
                load: load_report(target),
            }),
            None => out.push(Effect::NotFound { request }),
        },
        Event::Watch {
            request,
            after_version,
        } => {
            if state.version > after_version {
                out.push(value(state, request));
            } else {
                state.watches.push(request);
            }
        }
        Event::WatchExpired { request } => {
            if state.watches.contains(&request) {
                state.watches.retain(|&watch| watch != request);
                out.push(value(state, request));
            }
        }
        Event::Publish { request, body } => {
            state.version += 1;
            state.value = Bytes::copy_from_slice(body);
            let watches = std::mem::take(&mut state.watches);
            out.extend(watches.into_iter().map(|watch| value(state, watch)));
            out.push(value(state, request));
        }
        Event::Executed { request } => executed(state, request, out),
    }
}

fn value(state: &State, request: RequestKey) -> Effect {
    Effect::Value {
        request,
        version: state.version,
        body: state.value.clone(),
    }
}

fn call(
    state: &mut State,
    request: RequestKey,
    name: &str,
    snapshot: Option<u64>,
    body: &[u8],
    out: &mut Vec<Effect>,
) {
    let Some(target) = state.targets.get_mut(name) else {
        out.push(Effect::NotFound { request });
        return;
    };
    if snapshot.is_some_and(|snapshot| snapshot != target.snapshot) {
        out.push(Effect::Reply {
            request,
            status: ReplyStatus::WrongSnapshot,
            snapshot: target.snapshot,
            load: load_report(target),
            body: Bytes::new(),
        });
        return;
    }
    target.running_count += 1;
    let call = Call {
        target: name.to_owned(),
        body: Bytes::copy_from_slice(body),
    };
    state.calls.insert(request, call);
    let jitter = state.rng.random_range(0.0..1.0);
    let after = target.latency + target.latency.mul_f64(jitter);
    out.push(Effect::Execute {
        request,
        after: after.max(Duration::from_millis(1)),
    });
}

fn executed(state: &mut State, request: RequestKey, out: &mut Vec<Effect>) {
    let Some(call) = state.calls.remove(request) else {
        return;
    };
    let Some(target) = state.targets.get_mut(&call.target) else {
        return;
    };
    target.running_count = target.running_count.saturating_sub(1);
    out.push(Effect::Reply {
        request,
        status: ReplyStatus::Done,
        snapshot: target.snapshot,
        load: load_report(target),
        body: call.body,
    });
}
