//! Reducer time for one query, from the request to the last reply.
//!
//! Throughput counts one event for the request and one for each reply.

use std::{hint::black_box, time::Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use model::{
    Effect, Event, ExecutionKind, Priority, ReplyStatus, ReplyView, RequestView, TargetKey,
};
use slotmap::KeyData;

const SETTINGS: &str = r#"{
    "instance": {"name": "north-1", "zone": "north"},
    "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
    "platform": {"address": "127.0.0.1:4"}
}"#;

fn note(services_count: usize) -> String {
    let target = |service: usize, replica: usize| {
        serde_json::json!({
            "name": format!("shard-{service}-{replica}"), "zone": "north",
            "address": format!("127.0.{}.{}:1000", service / 100 + replica * 100, service % 100),
            "slots_count": 1000, "connections_max_count": 100_000, "cold_bearable_count": 1,
            "state": "in",
        })
    };
    let name = |service: usize| format!("shard-{service}");
    let services: Vec<_> = (0..services_count)
        .map(|service| {
            let targets = [target(service, 0), target(service, 1)];
            serde_json::json!({"name": name(service), "targets": targets})
        })
        .collect();
    let names: Vec<_> = (0..services_count).map(name).collect();
    serde_json::json!({
        "revision": 1, "added": [], "changed": [], "withdrawn": [],
        "fleet": {
            "zones": [{"name": "north", "state": "in"}], "services": services,
            "released_fingerprints": [],
            "fronts": [{
                "name": "front", "zones": [],
                "shard_maps": [{"from_snapshot": 1, "services": names}],
            }],
        },
    })
    .to_string()
}

/// Returns an instance with a configuration of `services_count` services and warm targets.
fn warm_instance(services_count: usize, now: Instant) -> tier::State {
    let mut findings = findings::Findings::default();
    let settings = settings::read(SETTINGS, &mut findings).expect("the settings are valid");
    let mut state = tier::new_state(settings, 1, 1);
    let note = note::read(&note(services_count), &mut findings).expect("the note is valid");
    let mut out = Vec::new();
    route::apply(&mut state.routes, &note, &mut out);
    state.fleet.note = Some(note);
    let targets: Vec<TargetKey> = state.routes.targets.keys().collect();
    for target in targets {
        let report = model::LoadReport {
            incarnation: 1,
            phase: model::TargetPhase::Warm,
            running_count: 0,
            queued_count: 0,
            bearable_count: 1000,
            oldest_snapshot: 1,
            newest_snapshot: 1,
        };
        tier::reduce(&mut state, now, Event::Load { target, report }, &mut out);
    }
    state
}

fn send_query(state: &mut tier::State, now: Instant, number: u64, out: &mut Vec<Effect>) {
    let request = RequestView {
        request_id: "r",
        front: "front",
        service: None,
        priority: Priority::Normal,
        kind: ExecutionKind::Idempotent,
        timeout: std::time::Duration::from_millis(500),
        body: b"{}",
    };
    let caller = KeyData::from_ffi(number | 1 << 32).into();
    out.clear();
    tier::reduce(state, now, Event::Request { caller, request }, out);
}

/// Replies to every call among the effects of a request.
fn reply_to_all(state: &mut tier::State, now: Instant, calls: &[Effect], out: &mut Vec<Effect>) {
    for effect in calls {
        let Effect::Call(call) = effect else { continue };
        let reply = ReplyView {
            status: ReplyStatus::Done,
            snapshot: 1,
            body: b"[]",
            load: None,
        };
        out.clear();
        let call = call.call;
        tier::reduce(state, now, Event::Reply { call, reply }, out);
    }
    black_box(out);
}

/// One query, by number of services; each service has two targets.
fn single_query(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("query");
    for services_count in [5, 20, 240, 1350] {
        let now = Instant::now();
        let mut state = warm_instance(services_count, now);
        let (mut first, mut rest) = (Vec::new(), Vec::new());
        group.throughput(criterion::Throughput::Elements(services_count as u64 + 1));
        group.bench_function(format!("{}-targets", services_count * 2), |bencher| {
            bencher.iter(|| {
                send_query(&mut state, now, 1, &mut first);
                reply_to_all(&mut state, now, &first, &mut rest);
            });
        });
    }
    group.finish();
}

/// One query while other queries are in flight.
fn query_with_others_in_flight(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("in-flight");
    for in_flight_count in [1, 10, 100] {
        let now = Instant::now();
        let mut state = warm_instance(20, now);
        let (mut first, mut rest) = (Vec::new(), Vec::new());
        for number in 0..in_flight_count {
            send_query(&mut state, now, number, &mut first);
        }
        group.throughput(criterion::Throughput::Elements(21));
        group.bench_function(format!("{in_flight_count}-queries"), |bencher| {
            bencher.iter(|| {
                send_query(&mut state, now, in_flight_count, &mut first);
                reply_to_all(&mut state, now, &first, &mut rest);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, single_query, query_with_others_in_flight);
criterion_main!(benches);
