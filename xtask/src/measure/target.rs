//! The behaviour of targets.

use std::time::Duration;

use bytes::Bytes;
use model::{CallFailure, CallKey, LoadReport, ReplyStatus, TargetPhase};
use rand::RngExt;
use rand_distr::{Distribution, LogNormal};

use crate::{
    happening::{Happening, Notice, Outcome, TargetIndex},
    world::{Target, World},
};

/// Takes in a call that reaches its target.
pub fn call_arrives(world: &mut World, now: Duration, key: CallKey, out: &mut Vec<Outcome>) {
    let Some(call) = world.calls.get(key).cloned() else {
        return;
    };
    let target = &mut world.targets[call.target];
    if target.is_lost {
        end_without_reply(world, key, CallFailure::ConnectRefused, out);
        return;
    }
    let is_served = call
        .snapshot
        .is_none_or(|snapshot| serves(target, snapshot, world.case.snapshots_held_count));
    if !is_served {
        end(world, now, key, ReplyStatus::WrongSnapshot, out);
        return;
    }
    target.queue.push_back(key);
    note_cold_load(world, now, call.target);
    execute_next(world, now, call.target, out);
}

/// Takes in the end of a call's execution.
pub fn executed(
    world: &mut World,
    now: Duration,
    index: TargetIndex,
    key: CallKey,
    out: &mut Vec<Outcome>,
) {
    let target = &mut world.targets[index];
    let Some(position) = target.running.iter().position(|&running| running == key) else {
        return;
    };
    if target.is_hung {
        return;
    }
    target.running.swap_remove(position);
    end(world, now, key, ReplyStatus::Done, out);
    execute_next(world, now, index, out);
}

/// Takes in a cancellation that reaches its target.
pub fn cancel_arrives(world: &mut World, now: Duration, key: CallKey, out: &mut Vec<Outcome>) {
    let Some(call) = world.calls.get(key) else {
        return;
    };
    let index = call.target;
    let is_running = call.is_running;
    let target = &mut world.targets[index];
    if target.is_hung {
        return;
    }
    let queued_count = target.queue.len();
    target.running.retain(|&running| running != key);
    target.queue.retain(|&queued| queued != key);
    if is_running {
        end(world, now, key, ReplyStatus::CancelledRunning, out);
        execute_next(world, now, index, out);
    } else if queued_count > world.targets[index].queue.len() {
        end(world, now, key, ReplyStatus::CancelledUnrun, out);
    } else {
        // The call is still on its way; it ends when it arrives.
        world.calls[key].deadline = Duration::ZERO;
    }
}

/// Stops a target: its calls are lost.
pub fn lose(world: &mut World, index: TargetIndex, out: &mut Vec<Outcome>) {
    let target = &mut world.targets[index];
    target.is_lost = true;
    target.cold_since = None;
    target.open_count = 0;
    let calls: Vec<CallKey> = target
        .running
        .drain(..)
        .chain(target.queue.drain(..))
        .collect();
    for key in calls {
        end_without_reply(world, key, CallFailure::ConnectionLost, out);
    }
}

/// Ends a call whose connection the policy dropped.
pub fn abandon(world: &mut World, now: Duration, key: CallKey, out: &mut Vec<Outcome>) {
    let Some(call) = world.calls.get(key) else {
        return;
    };
    let index = call.target;
    world.targets[index]
        .running
        .retain(|&running| running != key);
    world.targets[index].queue.retain(|&queued| queued != key);
    end_without_reply(world, key, CallFailure::ConnectionLost, out);
    execute_next(world, now, index, out);
}

/// Returns a target's load report.
pub fn report(world: &World, now: Duration, index: TargetIndex) -> LoadReport {
    let target = &world.targets[index];
    let is_cold = is_cold(world, now, target);
    let says_cold = is_cold && world.case.cold.is_reported;
    let held_count = u64::from(world.case.snapshots_held_count);
    LoadReport {
        incarnation: target.incarnation,
        phase: if says_cold {
            TargetPhase::Cold
        } else {
            TargetPhase::Warm
        },
        running_count: u32::try_from(target.running.len()).unwrap_or(u32::MAX),
        queued_count: u32::try_from(target.queue.len()).unwrap_or(u32::MAX),
        bearable_count: if says_cold {
            target.cold_bearable_count
        } else {
            u32::MAX
        },
        oldest_snapshot: target.newest_snapshot.saturating_sub(held_count - 1).max(1),
        newest_snapshot: target.newest_snapshot,
    }
}

/// Ends a call without a reply.
pub fn end_without_reply(
    world: &mut World,
    key: CallKey,
    failure: CallFailure,
    out: &mut Vec<Outcome>,
) {
    let Some(call) = world.calls.remove(key) else {
        return;
    };
    let target = &mut world.targets[call.target];
    target.busy_count = target.busy_count.saturating_sub(1);
    out.push(Outcome::Later {
        after: target.way,
        happening: Happening::Policy(Notice::CallFailed { call: key, failure }),
    });
}

fn end(
    world: &mut World,
    now: Duration,
    key: CallKey,
    status: ReplyStatus,
    out: &mut Vec<Outcome>,
) {
    let Some(call) = world.calls.remove(key) else {
        return;
    };
    let load = report(world, now, call.target);
    let target = &mut world.targets[call.target];
    target.busy_count = target.busy_count.saturating_sub(1);
    let snapshot = call.snapshot.unwrap_or(target.newest_snapshot);
    let snapshot = match status {
        ReplyStatus::WrongSnapshot => target.newest_snapshot,
        _ => snapshot,
    };
    let service = &world.services[target.service];
    out.push(Outcome::Later {
        after: target.way,
        happening: Happening::Policy(Notice::Reply {
            call: key,
            status,
            snapshot,
            load,
            body: result(service, snapshot, call.number),
        }),
    });
}

/// Returns the result of a service for a request, which an answer is checked against.
pub fn result(service: &str, snapshot: u64, number: u64) -> Bytes {
    format!("{service}@{snapshot}#{number}").into()
}

fn execute_next(world: &mut World, now: Duration, index: TargetIndex, out: &mut Vec<Outcome>) {
    while world.targets[index].running.len() < world.targets[index].slots_count as usize {
        let Some(key) = world.targets[index].queue.pop_front() else {
            return;
        };
        let Some(call) = world.calls.get_mut(key) else {
            continue;
        };
        if call.deadline <= now {
            end(world, now, key, ReplyStatus::DeadlinePassed, out);
            continue;
        }
        call.is_running = true;
        let after = draw_latency(world, now, index);
        world.targets[index].running.push(key);
        let happening = Happening::Executed {
            target: index,
            call: key,
        };
        out.push(Outcome::Later { after, happening });
    }
}

fn draw_latency(world: &mut World, now: Duration, index: TargetIndex) -> Duration {
    let latency = world.case.latency;
    let factor = LogNormal::new(0.0, latency.sigma)
        .expect("the deviation is finite")
        .sample(&mut world.rng);
    // Drawn in any case, so that the world without stragglers is the same in all else.
    let draw: f64 = world.rng.random();
    let is_straggler = world.has_stragglers && draw < world.case.straggler.ratio;
    let mut factor = factor;
    if is_straggler {
        factor *= world.case.straggler.factor;
    }
    let target = &world.targets[index];
    if is_cold(world, now, target) {
        factor *= world.case.cold.factor;
        if calls_count(target) >= target.cold_bearable_count {
            factor *= world.case.cold.overload_factor;
        }
    }
    latency.median.mul_f64(factor)
}

fn note_cold_load(world: &mut World, now: Duration, index: TargetIndex) {
    let target = &world.targets[index];
    let Some(cold_since) = target.cold_since.filter(|_| is_cold(world, now, target)) else {
        return;
    };
    if now < cold_since + world.case.cold.grace {
        return;
    }
    let fleet_count = calls_count(target) * world.case.instances_count;
    let ratio = f64::from(fleet_count) / f64::from(target.cold_bearable_count);
    world.tally.max_cold_overload_ratio = world.tally.max_cold_overload_ratio.max(ratio);
}

fn calls_count(target: &Target) -> u32 {
    u32::try_from(target.running.len() + target.queue.len()).unwrap_or(u32::MAX)
}

fn is_cold(world: &World, now: Duration, target: &Target) -> bool {
    target
        .cold_since
        .is_some_and(|since| now < since + world.case.cold.duration)
}

fn serves(target: &Target, snapshot: u64, held_count: u32) -> bool {
    let oldest = target
        .newest_snapshot
        .saturating_sub(u64::from(held_count) - 1);
    (oldest..=target.newest_snapshot).contains(&snapshot)
}
