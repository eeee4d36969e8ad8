//! What the effects of the measured policy do to the world.

use std::time::Duration;

use model::{
    Answer, CallFailure, CallerKey, Effect, Outcome as Ran, PlatformRead, TargetCall, TargetKey,
};

use crate::{
    fleet,
    happening::{Happening, Notice, Outcome},
    target,
    world::{self, Call, World},
};

/// Time after which a probe of a target that does not reply fails.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the platform answers a watch although nothing has changed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Grain of the timers of an instance.
const TIMER_GRAIN: Duration = Duration::from_millis(1);

/// Takes in one effect of the policy and appends what follows from it.
pub fn take(world: &mut World, now: Duration, effect: Effect, out: &mut Vec<Outcome>) {
    match effect {
        Effect::Call(call) => call_sent(world, now, &call, out),
        Effect::Cancel { call, .. } => {
            let Some(known) = world.calls.get(call) else {
                return;
            };
            out.push(Outcome::Later {
                after: world.targets[known.target].way,
                happening: Happening::CancelArrives(call),
            });
        }
        Effect::Abandon { call, .. } => target::abandon(world, now, call, out),
        Effect::Answer { caller, answer } => answered(world, now, caller, &answer),
        Effect::Pool {
            target, address, ..
        } => {
            world.target_keys.insert(target, fleet::index(address));
        }
        Effect::AskLoad {
            target,
            connections_count,
        } => load_asked(world, now, target, connections_count, out),
        Effect::SetTimer { timer, after } => {
            let grains = after.as_nanos().div_ceil(TIMER_GRAIN.as_nanos());
            let after = TIMER_GRAIN * u32::try_from(grains).unwrap_or(u32::MAX);
            out.push(Outcome::Later {
                after,
                happening: Happening::Policy(Notice::Timer(timer)),
            });
        }
        Effect::ReadPlatform(read) => platform_read(world, read, out),
        _ => {}
    }
}

fn platform_read(world: &World, read: PlatformRead, out: &mut Vec<Outcome>) {
    let (after, notice) = match read {
        PlatformRead::WatchNote { after_version } => {
            let is_newer = world.note.revision > after_version;
            let after = if is_newer {
                Duration::ZERO
            } else {
                WATCH_TIMEOUT
            };
            (after, world::note_notice(world))
        }
        PlatformRead::Instances => (Duration::ZERO, world::instances_notice(world)),
    };
    let happening = Happening::Policy(notice);
    out.push(Outcome::Later { after, happening });
}

fn call_sent(world: &mut World, now: Duration, call: &TargetCall, out: &mut Vec<Outcome>) {
    let index = fleet::index(call.address);
    let number: u64 = call.request_id.parse().unwrap_or(u64::MAX);
    count_call(world, index, number);
    world.calls.insert(
        call.call,
        Call {
            target: index,
            number,
            snapshot: call.snapshot,
            deadline: now + call.timeout,
            is_running: false,
        },
    );
    let target = &mut world.targets[index];
    target.busy_count += 1;
    let mut after = target.way;
    if target.busy_count > target.open_count {
        let is_refused = target.open_count >= target.connections_max_count;
        if is_refused || target.is_lost {
            target::end_without_reply(world, call.call, CallFailure::ConnectRefused, out);
            return;
        }
        target.open_count += 1;
        after += target.connect;
    }
    out.push(Outcome::Later {
        after,
        happening: Happening::CallArrives(call.call),
    });
}

fn count_call(world: &mut World, index: usize, number: u64) {
    let service = world.targets[index].service;
    let Some(caller) = world.callers.get_mut(&number) else {
        world.tally.calls_for_finished_count += 1;
        return;
    };
    let counts = &mut caller.calls_counts[service];
    *counts = counts.saturating_add(1);
    let is_repeated = *counts > 1;
    if caller.arrived_at < world.case.measure_from {
        return;
    }
    world.tally.calls_count += 1;
    world.tally.repeated_calls_count += u64::from(is_repeated);
}

fn load_asked(
    world: &mut World,
    now: Duration,
    key: TargetKey,
    connections_count: u32,
    out: &mut Vec<Outcome>,
) {
    let Some(&index) = world.target_keys.get(key) else {
        return;
    };
    let report = target::report(world, now, index);
    let target = &mut world.targets[index];
    let way_and_back = target.way * 2;
    let (after, notice) = if target.is_lost {
        (way_and_back, Notice::LoadFailed { target: key })
    } else if target.is_hung {
        (PROBE_TIMEOUT, Notice::LoadFailed { target: key })
    } else {
        let opened_count = connections_count.min(target.connections_max_count);
        target.open_count = target.open_count.max(opened_count);
        let notice = Notice::Load {
            target: key,
            report,
        };
        (way_and_back + target.connect, notice)
    };
    for _ in 0..connections_count {
        out.push(Outcome::Later {
            after,
            happening: Happening::Policy(notice.clone()),
        });
    }
}

fn answered(world: &mut World, now: Duration, key: CallerKey, answer: &Answer) {
    let number = world::caller_number(key);
    let Some(caller) = world.callers.remove(&number) else {
        world.tally.doubled_answers_count += 1;
        return;
    };
    let is_wrong = answer.results.iter().any(|result| {
        let snapshot = answer.snapshot.unwrap_or_default();
        result.body != target::result(&result.service, snapshot, number)
    });
    world.tally.wrong_answers_count += u64::from(is_wrong);
    if let Some(kept) = &mut world.tally.kept_results {
        let results = answer.results.iter();
        kept.insert(number, results.map(|result| result.body.clone()).collect());
    }
    if caller.arrived_at < world.case.measure_from {
        return;
    }
    let tally = &mut world.tally;
    let priority = caller.priority as usize;
    if matches!(answer.outcome, Ran::NotRun(_)) && answer.coverage.answered_count == 0 {
        tally.refused_count += 1;
        tally.refused_counts[priority] += 1;
        return;
    }
    let took_us = u64::try_from((now - caller.arrived_at).as_micros()).unwrap_or(u64::MAX);
    tally.latency_us.saturating_record(took_us);
    tally.latencies_us[priority].saturating_record(took_us);
    tally.ran_count += 1;
    let coverage = &answer.coverage;
    let total_count = coverage.total_count.max(1);
    tally.coverage_sum += f64::from(coverage.answered_count) / f64::from(total_count);
    let is_complete = coverage.answered_count == coverage.total_count;
    tally.complete_count += u64::from(is_complete);
    for missing in &coverage.missing {
        *tally.missing_counts.entry(missing.reason).or_default() += 1;
    }
}
