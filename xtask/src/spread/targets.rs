//! Measures how the failure of a target is detected, with and without traffic.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use model::{
    CallFailure, CallerKey, Effect, Event, Kind, LoadReport, Priority, ReplyStatus, ReplyView,
    RequestView, TargetKey, TargetPhase,
};
use slotmap::KeyData;
use tier::State;

use crate::documents;

/// Services of the measured configuration, with two targets each.
const SERVICES_COUNT: usize = 25;
/// Time that a target takes for a call or a load report.
const TARGET_DELAY: Duration = Duration::from_millis(3);
/// Time after which the connection to a stopped target is found to be lost.
const LOSS_DELAY: Duration = Duration::from_millis(5);
/// Time over which questions are counted.
const OBSERVED_TIME: Duration = Duration::from_secs(60);
/// Time after which a failure that was not detected is given up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(30);
/// Period in which a reply of a target is late by more than its usual time, in requests.
const LATE_EVERY_COUNT: u64 = 50;

/// What is due.
enum Due {
    Event(Event<'static>),
    Request,
}

/// One instance, its targets and what is due.
struct Bench {
    state: State,
    now: Instant,
    queue: BTreeMap<(Instant, u64), Due>,
    numbers_count: u64,
    stopped: Option<TargetKey>,
    questions_count: u64,
    calls_count: u64,
    request_interval: Option<Duration>,
}

/// Measures the questions and the detection at one rate of requests.
pub fn detection(requests_per_s: u32) -> String {
    let mut bench = open(requests_per_s);
    run(&mut bench, Duration::from_secs(10), |_| false);
    bench.questions_count = 0;
    bench.calls_count = 0;
    let mut false_count = 0;
    run(&mut bench, OBSERVED_TIME, |bench| {
        let mut targets = bench.state.routes.targets.values();
        false_count += u64::from(targets.any(|target| target.reach.is_unreachable));
        false
    });
    let targets_count = bench.state.routes.targets.len();
    let target_seconds = targets_count as f64 * OBSERVED_TIME.as_secs_f64();
    let questions_per_s = bench.questions_count as f64 / target_seconds;
    let calls_per_s = bench.calls_count as f64 / target_seconds;
    let stopped = bench.state.routes.targets.keys().next();
    bench.stopped = stopped;
    let stopped_at = bench.now;
    let is_detected = run(&mut bench, GIVE_UP_AFTER, |bench| {
        let target = stopped.and_then(|key| bench.state.routes.targets.get(key));
        target.is_some_and(|target| target.reach.is_unreachable)
    });
    let detected_s = (bench.now - stopped_at).as_secs_f64();
    format!(
        "targets requests_per_s={requests_per_s} targets_count={targets_count} \
         calls_per_target_s={calls_per_s:.2} questions_per_target_s={questions_per_s:.2} \
         detected={is_detected} detected_s={detected_s:.3} false_detections={false_count}"
    )
}

fn open(requests_per_s: u32) -> Bench {
    let settings = documents::settings(0, 1);
    let mut bench = Bench {
        state: tier::open(settings, 1, 1),
        now: Instant::now(),
        queue: BTreeMap::new(),
        numbers_count: 0,
        stopped: None,
        questions_count: 0,
        calls_count: 0,
        request_interval: Duration::from_secs(1).checked_div(requests_per_s),
    };
    step(&mut bench, Event::Started);
    let body = documents::note(2, 1, SERVICES_COUNT);
    step(
        &mut bench,
        Event::PlatformNote {
            version: 1,
            body: body.as_bytes(),
        },
    );
    if let Some(interval) = bench.request_interval {
        push(&mut bench, interval, Due::Request);
    }
    bench
}

fn push(bench: &mut Bench, after: Duration, due: Due) {
    bench.numbers_count += 1;
    let key = (bench.now + after, bench.numbers_count);
    bench.queue.insert(key, due);
}

/// Runs until a condition holds or the time is over; returns whether it holds.
fn run(bench: &mut Bench, duration: Duration, mut holds: impl FnMut(&Bench) -> bool) -> bool {
    let end = bench.now + duration;
    while let Some(entry) = bench.queue.first_entry() {
        let (at, _) = *entry.key();
        if at > end {
            break;
        }
        let due = entry.remove();
        bench.now = at;
        match due {
            Due::Event(event) => step(bench, event),
            Due::Request => ask(bench),
        }
        if holds(bench) {
            return true;
        }
    }
    bench.now = end;
    false
}

fn ask(bench: &mut Bench) {
    if let Some(interval) = bench.request_interval {
        push(bench, interval, Due::Request);
    }
    let caller: CallerKey = KeyData::from_ffi(bench.numbers_count | 1 << 32).into();
    let request = RequestView {
        request_id: "measured",
        front: "front",
        service: None,
        priority: Priority::Normal,
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        body: b"{}",
    };
    step(bench, Event::Request { caller, request });
}

fn step(bench: &mut Bench, event: Event<'_>) {
    let mut out = Vec::new();
    tier::reduce(&mut bench.state, bench.now, event, &mut out);
    for effect in out {
        run_effect(bench, effect);
    }
}

fn run_effect(bench: &mut Bench, effect: Effect) {
    match effect {
        Effect::SetTimer { timer, after } => push(bench, after, Due::Event(Event::Timer(timer))),
        Effect::AskLoad { target, .. } => {
            bench.questions_count += 1;
            let (after, event) = if bench.stopped == Some(target) {
                let failure = CallFailure::ConnectionLost;
                (LOSS_DELAY, Event::LoadFailed { target, failure })
            } else {
                let report = report();
                (TARGET_DELAY, Event::Load { target, report })
            };
            push(bench, after, Due::Event(event));
        }
        Effect::Call(call) => {
            bench.calls_count += 1;
            let (after, event) = if bench.stopped == Some(call.target) {
                let failure = CallFailure::ConnectionLost;
                let call = call.call;
                (LOSS_DELAY, Event::CallFailed { call, failure })
            } else {
                let reply = ReplyView {
                    status: ReplyStatus::Done,
                    snapshot: 1,
                    body: b"{}",
                    load: Some(report()),
                };
                let is_late = bench.calls_count.is_multiple_of(LATE_EVERY_COUNT);
                let factor = if is_late { 20 } else { 1 };
                let call = call.call;
                (TARGET_DELAY * factor, Event::Reply { call, reply })
            };
            push(bench, after, Due::Event(event));
        }
        _ => {}
    }
}

fn report() -> LoadReport {
    LoadReport {
        incarnation: 1,
        phase: TargetPhase::Warm,
        running_count: 0,
        queued_count: 0,
        bearable_count: 4,
        oldest_snapshot: 1,
        newest_snapshot: 1,
    }
}
