//! A single instance with a small configuration, whose events the test supplies.

use std::time::{Duration, Instant};

use model::{
    CallKey, CallerKey, Digest, Effect, Event, ExecutionKind, InstanceId, LoadReport, MemberRow,
    MemberState, Message, Observations, Priority, ReplyStatus, ReplyView, RequestView, TargetCall,
    TargetPhase,
};
use settings::Settings;
use slotmap::KeyData;

use crate::{State, new_state, reduce};

pub(crate) const SETTINGS: &str = r#"{
    "instance": {"name": "north-1", "zone": "north"},
    "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
    "platform": {"address": "127.0.0.1:4"}
}"#;

/// An instance and the effects of the last event.
pub(crate) struct Fixture {
    pub(crate) state: State,
    pub(crate) now: Instant,
    pub(crate) out: Vec<Effect>,
}

/// Returns an instance that accepted a note with `services_count` services, each of two warm
/// targets.
pub(crate) fn fixture(services_count: u32) -> Fixture {
    let mut fixture = Fixture {
        state: new_state(settings(), 7, 1),
        now: Instant::now(),
        out: Vec::new(),
    };
    let note = note(1, services_count);
    feed(
        &mut fixture,
        Event::PlatformNote {
            version: 1,
            body: note.as_bytes(),
        },
    );
    let targets: Vec<_> = fixture.state.routes.targets.keys().collect();
    for target in targets {
        feed(
            &mut fixture,
            Event::Load {
                target,
                report: report(1),
            },
        );
    }
    fixture
}

pub(crate) fn settings() -> Settings {
    let mut findings = findings::Findings::default();
    settings::read(SETTINGS, &mut findings).expect("the settings have no findings")
}

/// Reduces one event and replaces `out` by its effects.
pub(crate) fn feed(fixture: &mut Fixture, event: Event<'_>) {
    fixture.out.clear();
    reduce(&mut fixture.state, fixture.now, event, &mut fixture.out);
}

pub(crate) fn request<'a>(front: &'a str) -> RequestView<'a> {
    RequestView {
        request_id: "r-1",
        front,
        service: None,
        priority: Priority::Normal,
        kind: ExecutionKind::Idempotent,
        timeout: Duration::from_millis(500),
        body: b"{}",
    }
}

pub(crate) fn caller(number: u64) -> CallerKey {
    KeyData::from_ffi(number | 1 << 32).into()
}

pub(crate) fn calls(out: &[Effect]) -> Vec<TargetCall> {
    let calls = out.iter().filter_map(|effect| match effect {
        Effect::Call(call) => Some(call.clone()),
        _ => None,
    });
    calls.collect()
}

pub(crate) fn answers(out: &[Effect]) -> Vec<(CallerKey, model::Answer)> {
    let answers = out.iter().filter_map(|effect| match effect {
        Effect::Answer { caller, answer } => Some((*caller, (**answer).clone())),
        _ => None,
    });
    answers.collect()
}

pub(crate) fn done<'a>(call: CallKey, body: &'a [u8]) -> Event<'a> {
    let reply = ReplyView {
        status: ReplyStatus::Done,
        snapshot: 1,
        body,
        load: None,
    };
    Event::Reply { call, reply }
}

pub(crate) fn report(snapshot: u64) -> LoadReport {
    LoadReport {
        incarnation: 1,
        phase: TargetPhase::Warm,
        running_count: 0,
        queued_count: 0,
        bearable_count: 4,
        oldest_snapshot: snapshot,
        newest_snapshot: snapshot,
    }
}

/// Returns a note with the front `parts` over `services_count` services, each with a target in the
/// zones `north` and `south`.
pub(crate) fn note(revision: u64, services_count: u32) -> String {
    let target = |service: u32, zone: &str| {
        let port = 1000 + service * 2 + u32::from(zone == "south");
        serde_json::json!({
            "name": format!("parts-{service}-{zone}"), "zone": zone,
            "address": format!("127.0.0.1:{port}"), "slots_count": 4,
            "connections_max_count": 8, "cold_bearable_count": 1, "state": "in",
        })
    };
    let services: Vec<_> = (0..services_count)
        .map(|service| {
            let targets = [target(service, "north"), target(service, "south")];
            serde_json::json!({"name": format!("parts-{service}"), "targets": targets})
        })
        .collect();
    let names: Vec<_> = (0..services_count)
        .map(|service| format!("parts-{service}"))
        .collect();
    let zones = [
        serde_json::json!({"name": "north", "state": "in"}),
        serde_json::json!({"name": "south", "state": "in"}),
    ];
    let maps = [serde_json::json!({"from_snapshot": 1, "services": names})];
    let added: Vec<String> = Vec::new();
    serde_json::json!({
        "revision": revision, "added": added, "changed": [], "withdrawn": [],
        "fleet": {
            "zones": zones, "services": services, "released_fingerprints": [],
            "fronts": [{"name": "parts", "zones": [], "shard_maps": maps}],
        },
    })
    .to_string()
}

/// Returns a digest of a live instance that carries nothing else.
pub(crate) fn digest_of(zone: &str, name: &str, capacity_millicores: u32) -> Message {
    Message::Digest(Digest {
        from: MemberRow {
            understands_permits: true,
            id: InstanceId {
                name: name.to_owned(),
                incarnation: 1,
            },
            address: ([10, 0, 9, 1], 9_000).into(),
            zone: zone.to_owned(),
            capacity_millicores,
            counter: 0,
            state: MemberState::Alive,
        },
        sequence: 0,
        wants_reply: false,
        is_repeated: false,
        revision: 0,
        version_in_force: 0,
        freshness_age: Duration::ZERO,
        members: Vec::new(),
        observations: Observations::default(),
    })
}
