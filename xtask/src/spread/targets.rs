//! Measures the detection of a failed target by one instance, with and without traffic.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use model::{
    CallFailure, CallerKey, Effect, Event, ExecutionKind, LoadReport, Priority, ReplyStatus,
    ReplyView, RequestView, TargetKey, TargetPhase,
};
use slotmap::KeyData;
use tier::State;

use crate::fixtures;

/// Services of the measured configuration, with two targets each.
const SERVICES_COUNT: usize = 25;
/// Delay of a target's reply to a call or to a load probe.
const TARGET_DELAY: Duration = Duration::from_millis(3);
/// Time after which a call or a probe to a stopped target fails.
const CONNECTION_LOSS_DELAY: Duration = Duration::from_millis(5);
/// Time over which probes and calls are counted.
const MEASURED_DURATION: Duration = Duration::from_secs(60);
/// Time after which the measurement of a detection is abandoned.
const MEASUREMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// One in this many calls takes 20 times as long as the others.
const SLOW_REPLY_INTERVAL_COUNT: u64 = 50;

/// An event of the simulation.
enum ScheduledEvent {
    Event(Box<Event<'static>>),
    Request,
}

/// One instance, its targets and the event queue.
struct TargetSimulation {
    state: State,
    now: Instant,
    queue: BTreeMap<(Instant, u64), ScheduledEvent>,
    last_sequence: u64,
    stopped: Option<TargetKey>,
    probes_count: u64,
    calls_count: u64,
    request_interval: Option<Duration>,
}

/// Measures the rate of probes and the time to detect a stopped target at a given rate of requests.
pub fn detection(requests_per_s: u32) -> String {
    let mut simulation = start_simulation(requests_per_s);
    run_until(&mut simulation, Duration::from_secs(10), |_| false);
    simulation.probes_count = 0;
    simulation.calls_count = 0;
    let mut false_count = 0;
    run_until(&mut simulation, MEASURED_DURATION, |simulation| {
        let mut targets = simulation.state.routes.targets.values();
        false_count += u64::from(targets.any(|target| target.reachability.is_unreachable));
        false
    });
    let targets_count = simulation.state.routes.targets.len();
    let target_seconds = targets_count as f64 * MEASURED_DURATION.as_secs_f64();
    let probes_per_s = simulation.probes_count as f64 / target_seconds;
    let calls_per_s = simulation.calls_count as f64 / target_seconds;
    let stopped = simulation.state.routes.targets.keys().next();
    simulation.stopped = stopped;
    let stopped_at = simulation.now;
    let is_detected = run_until(&mut simulation, MEASUREMENT_TIMEOUT, |simulation| {
        let target = stopped.and_then(|key| simulation.state.routes.targets.get(key));
        target.is_some_and(|target| target.reachability.is_unreachable)
    });
    let detected_s = (simulation.now - stopped_at).as_secs_f64();
    format!(
        "targets requests_per_s={requests_per_s} targets_count={targets_count} \
         calls_per_target_s={calls_per_s:.2} questions_per_target_s={probes_per_s:.2} \
         detected={is_detected} detected_s={detected_s:.3} false_detections={false_count}"
    )
}

fn start_simulation(requests_per_s: u32) -> TargetSimulation {
    let settings = fixtures::settings(0, 1);
    let mut simulation = TargetSimulation {
        state: tier::new_state(settings, 1, 1),
        now: Instant::now(),
        queue: BTreeMap::new(),
        last_sequence: 0,
        stopped: None,
        probes_count: 0,
        calls_count: 0,
        request_interval: Duration::from_secs(1).checked_div(requests_per_s),
    };
    reduce_event(&mut simulation, Event::Started);
    let body = fixtures::note(2, 1, SERVICES_COUNT);
    reduce_event(
        &mut simulation,
        Event::PlatformNote {
            version: 1,
            body: body.as_bytes(),
        },
    );
    if let Some(interval) = simulation.request_interval {
        schedule(&mut simulation, interval, ScheduledEvent::Request);
    }
    simulation
}

fn schedule(simulation: &mut TargetSimulation, after: Duration, scheduled: ScheduledEvent) {
    simulation.last_sequence += 1;
    let key = (simulation.now + after, simulation.last_sequence);
    simulation.queue.insert(key, scheduled);
}

/// Runs until `is_done` returns true or `duration` has passed; returns whether it is done.
fn run_until(
    simulation: &mut TargetSimulation,
    duration: Duration,
    mut is_done: impl FnMut(&TargetSimulation) -> bool,
) -> bool {
    let end = simulation.now + duration;
    while let Some(entry) = simulation.queue.first_entry() {
        let (at, _) = *entry.key();
        if at > end {
            break;
        }
        let scheduled = entry.remove();
        simulation.now = at;
        match scheduled {
            ScheduledEvent::Event(event) => reduce_event(simulation, *event),
            ScheduledEvent::Request => send_request(simulation),
        }
        if is_done(simulation) {
            return true;
        }
    }
    simulation.now = end;
    false
}

fn send_request(simulation: &mut TargetSimulation) {
    if let Some(interval) = simulation.request_interval {
        schedule(simulation, interval, ScheduledEvent::Request);
    }
    let caller: CallerKey = KeyData::from_ffi(simulation.last_sequence | 1 << 32).into();
    let request = RequestView {
        request_id: "measured",
        front: "front",
        service: None,
        priority: Priority::Normal,
        kind: ExecutionKind::Idempotent,
        timeout: Duration::from_secs(1),
        body: b"{}",
    };
    reduce_event(simulation, Event::Request { caller, request });
}

fn reduce_event(simulation: &mut TargetSimulation, event: Event<'_>) {
    let mut effects = Vec::new();
    tier::reduce(&mut simulation.state, simulation.now, event, &mut effects);
    for effect in effects {
        run_effect(simulation, effect);
    }
}

fn run_effect(simulation: &mut TargetSimulation, effect: Effect) {
    match effect {
        Effect::SetTimer { timer, after } => schedule(
            simulation,
            after,
            ScheduledEvent::Event(Box::new(Event::Timer(timer))),
        ),
        Effect::ProbeLoad { target, .. } => {
            simulation.probes_count += 1;
            let (after, event) = if simulation.stopped == Some(target) {
                let failure = CallFailure::ConnectionLost;
                (CONNECTION_LOSS_DELAY, Event::LoadFailed { target, failure })
            } else {
                let report = warm_load_report();
                (TARGET_DELAY, Event::Load { target, report })
            };
            schedule(simulation, after, ScheduledEvent::Event(Box::new(event)));
        }
        Effect::Call(call) => {
            simulation.calls_count += 1;
            let (after, event) = if simulation.stopped == Some(call.target) {
                let failure = CallFailure::ConnectionLost;
                let call = call.call;
                (CONNECTION_LOSS_DELAY, Event::CallFailed { call, failure })
            } else {
                let reply = ReplyView {
                    status: ReplyStatus::Done,
                    snapshot: 1,
                    body: b"{}",
                    load: Some(warm_load_report()),
                };
                let is_slow = simulation
                    .calls_count
                    .is_multiple_of(SLOW_REPLY_INTERVAL_COUNT);
                let factor = if is_slow { 20 } else { 1 };
                let call = call.call;
                (TARGET_DELAY * factor, Event::Reply { call, reply })
            };
            schedule(simulation, after, ScheduledEvent::Event(Box::new(event)));
        }
        _ => {}
    }
}

fn warm_load_report() -> LoadReport {
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
