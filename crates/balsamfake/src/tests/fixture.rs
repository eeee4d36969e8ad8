//! A reducer whose events and clock are controlled by the test.

use std::time::{Duration, Instant};

use findings::Findings;
use model::ReplyStatus;
use slotmap::{KeyData, SlotMap};

use crate::{
    effect::{Effect, Reply, Timer},
    event::{CallView, ConnectionKey, ControlCommand, Event, RequestKey, TargetKey},
    reduce::reduce,
    state::{self, State},
};

const NOTE: &str = r#"{
    "revision": 1,
    "added": ["front/parts", "service/parts-1", "zone/north"],
    "changed": [], "withdrawn": [],
    "fleet": {
        "zones": [{"name": "north", "state": "in"}],
        "fronts": [{"name": "parts", "zones": [],
                    "shard_maps": [{"from_snapshot": 1, "services": ["parts-1"]}]}],
        "services": [{"name": "parts-1", "targets": [
            {"name": "t1", "zone": "north", "address": "127.0.0.1:1", "slots_count": 1,
             "connections_max_count": 2, "cold_bearable_count": 1, "state": "in"}]}],
        "released_fingerprints": []
    }
}"#;

/// The reducer's state and clock, and the key allocators that the shell owns in production.
pub(crate) struct Fixture {
    pub(crate) state: State,
    pub(crate) now: Instant,
    pub(crate) target: TargetKey,
    requests: SlotMap<RequestKey, ()>,
    connections: SlotMap<ConnectionKey, ()>,
}

pub(crate) fn fixture() -> Fixture {
    let mut findings = Findings::default();
    let note = note::read(NOTE, &mut findings);
    let note = note.unwrap_or_else(|| panic!("{findings}"));
    let state = state::new(&note, NOTE.to_owned(), 5);
    Fixture {
        target: state.targets_by_name["t1"],
        state,
        now: Instant::now(),
        requests: SlotMap::with_key(),
        connections: SlotMap::with_key(),
    }
}

pub(crate) fn process_event(fixture: &mut Fixture, event: Event<'_>) -> Vec<Effect> {
    let mut out = Vec::new();
    reduce(&mut fixture.state, fixture.now, event, &mut out);
    out
}

pub(crate) fn request(fixture: &mut Fixture) -> RequestKey {
    fixture.requests.insert(())
}

pub(crate) fn connect(fixture: &mut Fixture) -> Vec<Effect> {
    let connection = fixture.connections.insert(());
    let target = fixture.target;
    process_event(fixture, Event::ConnectionOpened { connection, target })
}

pub(crate) fn call<'a>(call_id: &'a str, body: &'a str) -> CallView<'a> {
    CallView {
        call_id,
        request_id: "r-1",
        snapshot: Some(1),
        timeout: Some(Duration::from_secs(1)),
        is_idempotent: true,
        body: body.as_bytes(),
    }
}

/// Sends a call to the target and returns its key and the resulting effects.
pub(crate) fn send(fixture: &mut Fixture, call: CallView<'_>) -> (RequestKey, Vec<Effect>) {
    let request = request(fixture);
    let target = fixture.target;
    let event = Event::CallReceived {
        request,
        target,
        call,
    };
    (request, process_event(fixture, event))
}

pub(crate) fn run_command(fixture: &mut Fixture, command: ControlCommand<'_>) -> Reply {
    let request = request(fixture);
    let mut out = process_event(fixture, Event::CommandReceived { request, command });
    match out.pop() {
        Some(Effect::Reply { reply, .. }) => reply,
        other => panic!("the last effect is not the reply to the command: {other:?}"),
    }
}

pub(crate) fn update_target(fixture: &mut Fixture, change: &str) {
    let reply = run_command(
        fixture,
        ControlCommand::UpdateTarget {
            target: "t1",
            body: change.as_bytes(),
        },
    );
    assert!(matches!(reply, Reply::Done), "{change}: {reply:?}");
}

pub(crate) fn update_platform(fixture: &mut Fixture, change: &str) {
    let body = change.as_bytes();
    let reply = run_command(fixture, ControlCommand::UpdatePlatform { body });
    assert!(matches!(reply, Reply::Done), "{change}: {reply:?}");
}

/// Returns the status of the reply to a call, if the effects contain one.
pub(crate) fn status(out: &[Effect], wanted: RequestKey) -> Option<ReplyStatus> {
    out.iter().find_map(|effect| match effect {
        Effect::Reply {
            request,
            reply: Reply::Call(reply),
        } if *request == wanted => Some(reply.status),
        _ => None,
    })
}

/// Returns the execution time of a call, if the effects start it.
pub(crate) fn execution_time(out: &[Effect], wanted: RequestKey) -> Option<Duration> {
    out.iter().find_map(|effect| match effect {
        Effect::StartTimer { timer, delay } if *timer == Timer::Execution(wanted) => Some(*delay),
        _ => None,
    })
}

pub(crate) fn is_dropped(out: &[Effect], wanted: RequestKey) -> bool {
    let mut effects = out.iter();
    effects.any(|effect| matches!(effect, Effect::DropRequest { request } if *request == wanted))
}

/// Returns a key that no allocated request has.
pub(crate) fn no_request() -> RequestKey {
    KeyData::from_ffi(u64::MAX).into()
}
