//! The behaviour of simulated targets.

use std::time::Duration;

use bytes::Bytes;
use model::{CallFailure, CallKey, LoadReport, ReplyStatus, TargetPhase};
use rand::RngExt;
use rand_distr::{Distribution, LogNormal};

use crate::{
    event::{PolicyEvent, SimEffect, SimEvent, TargetIndex},
    simulation::{Simulation, Target},
};

/// Handles a call that arrives at its target: refuses it, or queues it and starts it if a slot is
/// free.
pub fn receive_call(sim: &mut Simulation, now: Duration, key: CallKey, out: &mut Vec<SimEffect>) {
    let Some(call) = sim.calls.get(key).cloned() else {
        return;
    };
    let target = &mut sim.targets[call.target];
    if target.is_crashed {
        fail_call(sim, key, CallFailure::ConnectRefused, out);
        return;
    }
    let is_served = call
        .snapshot
        .is_none_or(|snapshot| serves_snapshot(target, snapshot, sim.case.snapshots_held_count));
    if !is_served {
        send_reply(sim, now, key, ReplyStatus::WrongSnapshot, out);
        return;
    }
    target.queue.push_back(key);
    record_cold_overload(sim, now, call.target);
    start_queued_calls(sim, now, call.target, out);
}

/// Handles the end of a call's execution: replies, and starts the next queued call.
pub fn finish_execution(
    sim: &mut Simulation,
    now: Duration,
    index: TargetIndex,
    key: CallKey,
    out: &mut Vec<SimEffect>,
) {
    let target = &mut sim.targets[index];
    let Some(position) = target.running.iter().position(|&running| running == key) else {
        return;
    };
    if target.is_hung {
        return;
    }
    target.running.swap_remove(position);
    send_reply(sim, now, key, ReplyStatus::Done, out);
    start_queued_calls(sim, now, index, out);
}

/// Handles a cancellation that arrives at its target.
pub fn receive_cancel(sim: &mut Simulation, now: Duration, key: CallKey, out: &mut Vec<SimEffect>) {
    let Some(call) = sim.calls.get(key) else {
        return;
    };
    let index = call.target;
    let is_running = call.is_running;
    let target = &mut sim.targets[index];
    if target.is_hung {
        return;
    }
    let queued_count = target.queue.len();
    target.running.retain(|&running| running != key);
    target.queue.retain(|&queued| queued != key);
    if is_running {
        send_reply(sim, now, key, ReplyStatus::CancelledRunning, out);
        start_queued_calls(sim, now, index, out);
    } else if queued_count > sim.targets[index].queue.len() {
        send_reply(sim, now, key, ReplyStatus::CancelledUnrun, out);
    } else {
        // The call has not arrived yet; the passed deadline keeps it from being executed.
        sim.calls[key].deadline = Duration::ZERO;
    }
}

/// Crashes a target; the connections of its calls are lost.
pub fn crash(sim: &mut Simulation, index: TargetIndex, out: &mut Vec<SimEffect>) {
    let target = &mut sim.targets[index];
    target.is_crashed = true;
    target.cold_since = None;
    target.connections_open_count = 0;
    let calls: Vec<CallKey> = target
        .running
        .drain(..)
        .chain(target.queue.drain(..))
        .collect();
    for key in calls {
        fail_call(sim, key, CallFailure::ConnectionLost, out);
    }
}

/// Ends a call whose connection the policy has dropped.
pub fn drop_call(sim: &mut Simulation, now: Duration, key: CallKey, out: &mut Vec<SimEffect>) {
    let Some(call) = sim.calls.get(key) else {
        return;
    };
    let index = call.target;
    sim.targets[index].running.retain(|&running| running != key);
    sim.targets[index].queue.retain(|&queued| queued != key);
    fail_call(sim, key, CallFailure::ConnectionLost, out);
    start_queued_calls(sim, now, index, out);
}

/// Returns the load report that a target sends.
pub fn load_report(sim: &Simulation, now: Duration, index: TargetIndex) -> LoadReport {
    let target = &sim.targets[index];
    let is_cold = is_cold(sim, now, target);
    let is_reported_cold = is_cold && sim.case.cold_start.is_reported;
    let held_count = u64::from(sim.case.snapshots_held_count);
    LoadReport {
        incarnation: target.incarnation,
        phase: if is_reported_cold {
            TargetPhase::Cold
        } else {
            TargetPhase::Warm
        },
        running_count: u32::try_from(target.running.len()).unwrap_or(u32::MAX),
        queued_count: u32::try_from(target.queue.len()).unwrap_or(u32::MAX),
        bearable_count: if is_reported_cold {
            target.cold_bearable_count
        } else {
            u32::MAX
        },
        oldest_snapshot: target.newest_snapshot.saturating_sub(held_count - 1).max(1),
        newest_snapshot: target.newest_snapshot,
    }
}

/// Ends a call without a reply and reports the failure to the policy.
pub fn fail_call(
    sim: &mut Simulation,
    key: CallKey,
    failure: CallFailure,
    out: &mut Vec<SimEffect>,
) {
    let Some(call) = sim.calls.remove(key) else {
        return;
    };
    let target = &mut sim.targets[call.target];
    target.connections_busy_count = target.connections_busy_count.saturating_sub(1);
    out.push(SimEffect::Schedule {
        after: target.one_way_delay,
        event: SimEvent::Policy(PolicyEvent::CallFailed { call: key, failure }),
    });
}

fn send_reply(
    sim: &mut Simulation,
    now: Duration,
    key: CallKey,
    status: ReplyStatus,
    out: &mut Vec<SimEffect>,
) {
    let Some(call) = sim.calls.remove(key) else {
        return;
    };
    let load = load_report(sim, now, call.target);
    let target = &mut sim.targets[call.target];
    target.connections_busy_count = target.connections_busy_count.saturating_sub(1);
    let snapshot = call.snapshot.unwrap_or(target.newest_snapshot);
    let snapshot = match status {
        ReplyStatus::WrongSnapshot => target.newest_snapshot,
        _ => snapshot,
    };
    let service = &sim.services[target.service];
    out.push(SimEffect::Schedule {
        after: target.one_way_delay,
        event: SimEvent::Policy(PolicyEvent::Reply {
            call: key,
            status,
            snapshot,
            load,
            body: result_body(service, snapshot, call.request_number),
        }),
    });
}

/// Returns the result of a service for a request. Targets send it, and answers are checked against
/// it.
pub fn result_body(service: &str, snapshot: u64, number: u64) -> Bytes {
    format!("{service}@{snapshot}#{number}").into()
}

fn start_queued_calls(
    sim: &mut Simulation,
    now: Duration,
    index: TargetIndex,
    out: &mut Vec<SimEffect>,
) {
    while sim.targets[index].running.len() < sim.targets[index].slots_count as usize {
        let Some(key) = sim.targets[index].queue.pop_front() else {
            return;
        };
        let Some(call) = sim.calls.get_mut(key) else {
            continue;
        };
        if call.deadline <= now {
            send_reply(sim, now, key, ReplyStatus::DeadlinePassed, out);
            continue;
        }
        call.is_running = true;
        let after = sample_execution_time(sim, now, index);
        sim.targets[index].running.push(key);
        let event = SimEvent::CallExecuted {
            target: index,
            call: key,
        };
        out.push(SimEffect::Schedule { after, event });
    }
}

fn sample_execution_time(sim: &mut Simulation, now: Duration, index: TargetIndex) -> Duration {
    let latency = sim.case.latency;
    let factor = LogNormal::new(0.0, latency.sigma)
        .expect("the deviation is finite")
        .sample(&mut sim.rng);
    // Drawn even without stragglers, so that the sequence of random draws does not depend on them.
    let draw: f64 = sim.rng.random();
    let is_straggler = sim.has_stragglers && draw < sim.case.straggler.ratio;
    let mut factor = factor;
    if is_straggler {
        factor *= sim.case.straggler.factor;
    }
    let target = &sim.targets[index];
    if is_cold(sim, now, target) {
        factor *= sim.case.cold_start.factor;
        if in_flight_count(target) >= target.cold_bearable_count {
            factor *= sim.case.cold_start.overload_factor;
        }
    }
    latency.median.mul_f64(factor)
}

fn record_cold_overload(sim: &mut Simulation, now: Duration, index: TargetIndex) {
    let target = &sim.targets[index];
    let Some(cold_since) = target.cold_since.filter(|_| is_cold(sim, now, target)) else {
        return;
    };
    if now < cold_since + sim.case.cold_start.grace {
        return;
    }
    let fleet_count = in_flight_count(target) * sim.case.instances_count;
    let ratio = f64::from(fleet_count) / f64::from(target.cold_bearable_count);
    sim.stats.max_cold_overload_ratio = sim.stats.max_cold_overload_ratio.max(ratio);
}

fn in_flight_count(target: &Target) -> u32 {
    u32::try_from(target.running.len() + target.queue.len()).unwrap_or(u32::MAX)
}

fn is_cold(sim: &Simulation, now: Duration, target: &Target) -> bool {
    target
        .cold_since
        .is_some_and(|since| now < since + sim.case.cold_start.duration)
}

fn serves_snapshot(target: &Target, snapshot: u64, held_count: u32) -> bool {
    let oldest = target
        .newest_snapshot
        .saturating_sub(u64::from(held_count) - 1);
    (oldest..=target.newest_snapshot).contains(&snapshot)
}
