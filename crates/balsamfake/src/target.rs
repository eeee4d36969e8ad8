//! Calls to a target: admission, queueing, execution and cancellation.

use std::time::{Duration, Instant};

use bytes::Bytes;
use model::{LoadReport, ReplyStatus, TargetPhase};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crate::{
    effect::{CallReply, Effect, Reply, Timer},
    event::{CallView, RequestKey, TargetKey},
    ledger::{self, Execution, ExecutionState},
    lifecycle,
    state::{Call, State, Target},
};

/// Admits a call and starts it if a slot is free, or refuses it.
///
/// A silent target gives no reply, and one that is down or cut off from the caller drops the call.
pub fn receive_call(
    state: &mut State,
    now: Instant,
    request: RequestKey,
    key: TargetKey,
    call: &CallView<'_>,
    out: &mut Vec<Effect>,
) {
    let Some(target) = state.targets.get_mut(key).filter(|target| target.is_up) else {
        out.push(Effect::DropRequest { request });
        return;
    };
    target.counts.received_count += 1;
    if is_cut_off(target, call.call_id) {
        out.push(Effect::DropRequest { request });
        return;
    }
    if target.behaviour.is_silent {
        return;
    }
    if let Some(status) = rejection_status(target, call) {
        if status == ReplyStatus::Shed {
            target.counts.shed_count += 1;
        }
        out.push(empty_reply(target, request, status));
        return;
    }
    let in_flight_count = target.running.len() + target.queue.len() + 1;
    let is_cold = target.phase == TargetPhase::Cold;
    if is_cold && in_flight_count > target.behaviour.cold_bearable_count as usize {
        target.counts.cold_excess_count += 1;
    }
    let crash_count = target.behaviour.collapse_crash_count as usize;
    let is_crashing = is_cold && crash_count > 0 && in_flight_count >= crash_count;
    target.queue.push_back(request);
    let call = Call {
        target: key,
        call_id: call.call_id.to_owned(),
        request_id: call.request_id.to_owned(),
        snapshot: call.snapshot.unwrap_or(target.behaviour.newest_snapshot),
        deadline: call.timeout.map(|timeout| now + timeout),
        is_idempotent: call.is_idempotent,
        body: Bytes::copy_from_slice(call.body),
        ledger_index: None,
    };
    state.calls.insert(request, call);
    if is_crashing {
        lifecycle::crash(state, key, out);
        return;
    }
    start_queued(state, now, key, out);
}

/// Completes the execution of a call and starts the next queued one.
pub fn finish_execution(
    state: &mut State,
    now: Instant,
    request: RequestKey,
    out: &mut Vec<Effect>,
) {
    let Some(call) = state.calls.remove(request) else {
        return;
    };
    ledger::record_end(&mut state.ledger, call.ledger_index, ExecutionState::Done);
    let Some(target) = state.targets.get_mut(call.target) else {
        return;
    };
    target.running.retain(|&running| running != request);
    target.counts.done_count += 1;
    target.warm_up_calls_count = target.warm_up_calls_count.saturating_add(1);
    if target.warm_up_calls_count >= target.behaviour.warm_after_count {
        target.phase = TargetPhase::Warm;
    }
    out.push(Effect::Reply {
        request,
        reply: Reply::Call(CallReply {
            status: ReplyStatus::Done,
            snapshot: call.snapshot,
            load: load_report(target),
            body: echo_result(target, &call),
        }),
    });
    start_queued(state, now, call.target, out);
}

/// Cancels a call; the status of the call's own reply says whether execution had started.
pub fn cancel_call(
    state: &mut State,
    now: Instant,
    key: TargetKey,
    call_id: &str,
    out: &mut Vec<Effect>,
) {
    let found = state.calls.iter();
    let mut found = found.filter(|(_, call)| call.target == key && call.call_id == call_id);
    let Some((request, _)) = found.next() else {
        return;
    };
    let Some(target) = state.targets.get_mut(key) else {
        return;
    };
    let is_running = target.running.contains(&request);
    target.running.retain(|&running| running != request);
    target.queue.retain(|&waiting| waiting != request);
    target.counts.cancelled_count += 1;
    let status = if is_running {
        ReplyStatus::CancelledRunning
    } else {
        ReplyStatus::CancelledUnrun
    };
    out.push(empty_reply(target, request, status));
    if let Some(call) = state.calls.remove(request) {
        ledger::record_end(
            &mut state.ledger,
            call.ledger_index,
            ExecutionState::Cancelled,
        );
    }
    start_queued(state, now, key, out);
}

/// Returns a target's load report.
pub fn load_report(target: &Target) -> LoadReport {
    let behaviour = &target.behaviour;
    let actual_phase = if behaviour.is_draining {
        TargetPhase::Draining
    } else {
        target.phase
    };
    LoadReport {
        incarnation: target.incarnation,
        phase: behaviour.reported_phase.unwrap_or(actual_phase),
        running_count: saturating_count(target.running.len()),
        queued_count: saturating_count(target.queue.len()),
        bearable_count: match actual_phase {
            TargetPhase::Warm => behaviour.slots_count,
            TargetPhase::Cold => behaviour.cold_bearable_count,
            TargetPhase::Draining => 0,
        },
        oldest_snapshot: behaviour.oldest_snapshot,
        newest_snapshot: behaviour.newest_snapshot,
    }
}

/// Returns whether a call comes from an instance in `cut_origins`, by the first part of its
/// identifier.
fn is_cut_off(target: &Target, call_id: &str) -> bool {
    let cut = &target.behaviour.cut_origins;
    cut.iter().any(|origin| {
        let rest = call_id.strip_prefix(origin.as_str());
        rest.is_some_and(|rest| rest.starts_with(':'))
    })
}

fn rejection_status(target: &Target, call: &CallView<'_>) -> Option<ReplyStatus> {
    let behaviour = &target.behaviour;
    if behaviour.is_draining {
        return Some(ReplyStatus::Draining);
    }
    let served = behaviour.oldest_snapshot..=behaviour.newest_snapshot;
    if call
        .snapshot
        .is_some_and(|snapshot| !served.contains(&snapshot))
    {
        return Some(ReplyStatus::WrongSnapshot);
    }
    let is_full = target.running.len() >= behaviour.slots_count as usize
        && target.queue.len() >= behaviour.queue_max_count as usize;
    (behaviour.is_shedding || is_full).then_some(ReplyStatus::Shed)
}

fn empty_reply(target: &Target, request: RequestKey, status: ReplyStatus) -> Effect {
    let reply = CallReply {
        status,
        snapshot: target.behaviour.newest_snapshot,
        load: load_report(target),
        body: Bytes::new(),
    };
    Effect::Reply {
        request,
        reply: Reply::Call(reply),
    }
}

/// Starts queued calls while slots are free; replies to those whose deadline has passed.
fn start_queued(state: &mut State, now: Instant, key: TargetKey, out: &mut Vec<Effect>) {
    while let Some(target) = state.targets.get_mut(key) {
        if target.running.len() >= target.behaviour.slots_count as usize {
            return;
        }
        let Some(request) = target.queue.pop_front() else {
            return;
        };
        let Some(call) = state.calls.get(request) else {
            continue;
        };
        if call.deadline.is_some_and(|deadline| deadline <= now) {
            out.push(empty_reply(target, request, ReplyStatus::DeadlinePassed));
            state.calls.remove(request);
            continue;
        }
        start_execution(state, key, request, out);
    }
}

fn start_execution(state: &mut State, key: TargetKey, request: RequestKey, out: &mut Vec<Effect>) {
    let (Some(target), Some(call)) = (state.targets.get_mut(key), state.calls.get_mut(request))
    else {
        return;
    };
    target.running.push(request);
    if !call.is_idempotent {
        let execution = Execution {
            target: target.name.clone(),
            incarnation: target.incarnation,
            call_id: call.call_id.clone(),
            request_id: call.request_id.clone(),
            body: String::from_utf8_lossy(&call.body).into_owned(),
            state: ExecutionState::Running,
        };
        call.ledger_index = ledger::record_start(&mut state.ledger, execution);
    }
    if contains_poison(target, &call.body) {
        lifecycle::crash(state, key, out);
        return;
    }
    let delay = execution_time(&mut state.rng, target);
    let timer = Timer::Execution(request);
    out.push(Effect::StartTimer { timer, delay });
}

fn contains_poison(target: &Target, body: &[u8]) -> bool {
    let poison = target.behaviour.poison.as_bytes();
    !poison.is_empty() && body.windows(poison.len()).any(|window| window == poison)
}

fn execution_time(rng: &mut ChaCha8Rng, target: &Target) -> Duration {
    let behaviour = &target.behaviour;
    let mut factor = LogNormal::new(0.0, behaviour.latency_spread_ratio)
        .map_or(1.0, |distribution| distribution.sample(rng));
    if rng.random_bool(behaviour.straggler_ratio.clamp(0.0, 1.0)) {
        factor *= f64::from(behaviour.straggler_factor);
    }
    let in_flight_count = target.running.len() + target.queue.len();
    let is_collapsed = target.phase == TargetPhase::Cold
        && in_flight_count > behaviour.cold_bearable_count as usize;
    if is_collapsed {
        factor *= f64::from(behaviour.collapse_factor);
    }
    behaviour.latency.mul_f64(factor)
}

/// Returns a result that names its target and echoes the query, so that tests can detect replies
/// that were assigned to the wrong request.
fn echo_result(target: &Target, call: &Call) -> Bytes {
    let query = String::from_utf8_lossy(&call.body);
    let query = if query.trim().is_empty() {
        "null"
    } else {
        &*query
    };
    let prefix = format!(
        "{{\"service\":\"{}\",\"target\":\"{}\",\"snapshot\":{},\"query\":",
        target.service, target.name, call.snapshot
    );
    [&prefix, query, "}"].concat().into()
}

fn saturating_count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
