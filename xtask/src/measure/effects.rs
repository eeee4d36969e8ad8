//! Applies the effects of the policy under test to the simulation.

use std::time::Duration;

use model::{
    Answer, CallFailure, CallerKey, Effect, Outcome as RequestOutcome, PlatformRead, TargetCall,
    TargetKey,
};

use crate::{
    event::{PolicyEvent, SimEffect, SimEvent},
    fleet,
    simulation::{self, Call, Simulation},
    target,
};

/// Time after which a probe of a hung target fails.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the platform answers a watch without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Resolution of an instance's timers; delays are rounded up to it.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Applies one effect of the policy and appends the resulting effects on the simulation.
pub fn apply(sim: &mut Simulation, now: Duration, effect: Effect, out: &mut Vec<SimEffect>) {
    match effect {
        Effect::Call(call) => send_call(sim, now, &call, out),
        Effect::Cancel { call, .. } => {
            let Some(known) = sim.calls.get(call) else {
                return;
            };
            out.push(SimEffect::Schedule {
                after: sim.targets[known.target].one_way_delay,
                event: SimEvent::CancelArrival(call),
            });
        }
        Effect::DropCall { call, .. } => target::drop_call(sim, now, call, out),
        Effect::Answer { caller, answer } => record_answer(sim, now, caller, &answer),
        Effect::ResizePool {
            target, address, ..
        } => {
            sim.target_indices.insert(target, fleet::index_of(address));
        }
        Effect::ProbeLoad {
            target,
            connections_count,
        } => probe_load(sim, now, target, connections_count, out),
        Effect::SetTimer { timer, after } => {
            let ticks = after.as_nanos().div_ceil(TIMER_RESOLUTION.as_nanos());
            let after = TIMER_RESOLUTION * u32::try_from(ticks).unwrap_or(u32::MAX);
            out.push(SimEffect::Schedule {
                after,
                event: SimEvent::Policy(PolicyEvent::Timer(timer)),
            });
        }
        Effect::ReadPlatform(read) => read_platform(sim, read, out),
        _ => {}
    }
}

fn read_platform(sim: &Simulation, read: PlatformRead, out: &mut Vec<SimEffect>) {
    let (after, policy_event) = match read {
        PlatformRead::WatchNote { after_version } => {
            let is_newer = sim.note.revision > after_version;
            let after = if is_newer {
                Duration::ZERO
            } else {
                WATCH_TIMEOUT
            };
            (after, simulation::note_event(sim))
        }
        PlatformRead::Instances => (Duration::ZERO, simulation::instances_event(sim)),
    };
    let event = SimEvent::Policy(policy_event);
    out.push(SimEffect::Schedule { after, event });
}

fn send_call(sim: &mut Simulation, now: Duration, call: &TargetCall, out: &mut Vec<SimEffect>) {
    let index = fleet::index_of(call.address);
    let request_number: u64 = call.request_id.parse().unwrap_or(u64::MAX);
    count_call(sim, index, request_number);
    sim.calls.insert(
        call.call,
        Call {
            target: index,
            request_number,
            snapshot: call.snapshot,
            deadline: now + call.timeout,
            is_running: false,
        },
    );
    let target = &mut sim.targets[index];
    target.connections_busy_count += 1;
    let mut after = target.one_way_delay;
    if target.connections_busy_count > target.connections_open_count {
        let is_refused = target.connections_open_count >= target.connections_max_count;
        if is_refused || target.is_crashed {
            target::fail_call(sim, call.call, CallFailure::ConnectRefused, out);
            return;
        }
        target.connections_open_count += 1;
        after += target.connect_time;
    }
    out.push(SimEffect::Schedule {
        after,
        event: SimEvent::CallArrival(call.call),
    });
}

fn count_call(sim: &mut Simulation, index: usize, request_number: u64) {
    let service = sim.targets[index].service;
    let Some(request) = sim.pending_requests.get_mut(&request_number) else {
        sim.stats.calls_for_finished_count += 1;
        return;
    };
    let counts = &mut request.calls_count_by_service[service];
    *counts = counts.saturating_add(1);
    let is_repeated = *counts > 1;
    if request.arrived_at < sim.case.measure_from {
        return;
    }
    sim.stats.calls_count += 1;
    sim.stats.repeated_calls_count += u64::from(is_repeated);
}

fn probe_load(
    sim: &mut Simulation,
    now: Duration,
    key: TargetKey,
    connections_count: u32,
    out: &mut Vec<SimEffect>,
) {
    let Some(&index) = sim.target_indices.get(key) else {
        return;
    };
    let report = target::load_report(sim, now, index);
    let target = &mut sim.targets[index];
    let round_trip = target.one_way_delay * 2;
    let (after, policy_event) = if target.is_crashed {
        (round_trip, PolicyEvent::LoadFailed { target: key })
    } else if target.is_hung {
        (PROBE_TIMEOUT, PolicyEvent::LoadFailed { target: key })
    } else {
        let opened_count = connections_count.min(target.connections_max_count);
        target.connections_open_count = target.connections_open_count.max(opened_count);
        let policy_event = PolicyEvent::Load {
            target: key,
            report,
        };
        (round_trip + target.connect_time, policy_event)
    };
    for _ in 0..connections_count {
        out.push(SimEffect::Schedule {
            after,
            event: SimEvent::Policy(policy_event.clone()),
        });
    }
}

fn record_answer(sim: &mut Simulation, now: Duration, key: CallerKey, answer: &Answer) {
    let request_number = simulation::request_number(key);
    let Some(request) = sim.pending_requests.remove(&request_number) else {
        sim.stats.doubled_answers_count += 1;
        return;
    };
    let is_wrong = answer.results.iter().any(|result| {
        let snapshot = answer.snapshot.unwrap_or_default();
        result.body != target::result_body(&result.service, snapshot, request_number)
    });
    sim.stats.wrong_answers_count += u64::from(is_wrong);
    if let Some(recorded) = &mut sim.stats.recorded_results {
        let results = answer.results.iter();
        recorded.insert(
            request_number,
            results.map(|result| result.body.clone()).collect(),
        );
    }
    if request.arrived_at < sim.case.measure_from {
        return;
    }
    let stats = &mut sim.stats;
    let priority = request.priority as usize;
    if matches!(answer.outcome, RequestOutcome::NotRun(_)) && answer.coverage.answered_count == 0 {
        stats.refused_count += 1;
        stats.refused_count_by_priority[priority] += 1;
        return;
    }
    let latency_us = u64::try_from((now - request.arrived_at).as_micros()).unwrap_or(u64::MAX);
    stats.latency_us.saturating_record(latency_us);
    stats.latency_us_by_priority[priority].saturating_record(latency_us);
    stats.ran_count += 1;
    let coverage = &answer.coverage;
    let total_count = coverage.total_count.max(1);
    stats.coverage_sum += f64::from(coverage.answered_count) / f64::from(total_count);
    let is_complete = coverage.answered_count == coverage.total_count;
    stats.complete_count += u64::from(is_complete);
    for missing in &coverage.missing {
        *stats.missing_counts.entry(missing.reason).or_default() += 1;
    }
}
