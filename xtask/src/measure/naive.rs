//! The naive policy, a baseline: every request calls one target of each service, round robin,
//! without retries or hedges, and waits for all replies until the deadline.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use findings::Findings;
use model::{
    Answer, CallKey, CallerKey, Coverage, Effect, Event, Missing, MissingReason, NotRunReason,
    Outcome, QueryKey, ReplyStatus, RequestView, ShardResult, Snapshot, TargetCall, TargetKey,
    Timer, UnknownReason,
};
use note::{Note, TargetState, ZoneState};
use slotmap::SlotMap;

/// The state of the naive policy.
#[derive(Debug, Default)]
pub struct Naive {
    services: Vec<Service>,
    targets: SlotMap<TargetKey, std::net::SocketAddr>,
    queries: SlotMap<QueryKey, Query>,
    calls: SlotMap<CallKey, (QueryKey, usize)>,
}

#[derive(Debug)]
struct Service {
    name: Arc<str>,
    targets: Vec<TargetKey>,
    next_target: usize,
}

#[derive(Debug)]
struct Query {
    caller: CallerKey,
    request_id: Arc<str>,
    snapshot: Option<Snapshot>,
    shards: Vec<Shard>,
    /// Services without a result or failure yet, including those without a usable target.
    calls_pending_count: usize,
}

#[derive(Debug)]
struct Shard {
    service: Arc<str>,
    body: Option<Bytes>,
}

/// Applies one event and appends its effects.
pub fn reduce(naive: &mut Naive, event: Event<'_>, out: &mut Vec<Effect>) {
    match event {
        Event::PlatformNote { body, .. } => apply_note(naive, body, out),
        Event::Request { caller, request } => start_query(naive, caller, &request, out),
        Event::Reply { call, reply } => {
            let is_done = reply.status == ReplyStatus::Done;
            let result = is_done.then(|| (reply.snapshot, Bytes::copy_from_slice(reply.body)));
            end_call(naive, call, result, out);
        }
        Event::CallFailed { call, .. } => end_call(naive, call, None, out),
        Event::Timer(Timer::Deadline(query)) => answer_query(naive, query, out),
        _ => {}
    }
}

/// Returns the initial state.
pub fn new() -> Naive {
    Naive::default()
}

fn apply_note(naive: &mut Naive, body: &[u8], out: &mut Vec<Effect>) {
    let document = std::str::from_utf8(body).unwrap_or_default();
    let Some(note) = note::read(document, &mut Findings::default()) else {
        return;
    };
    naive.services.clear();
    let Some(map) = note.fleet.fronts[0].shard_maps.last() else {
        return;
    };
    for service in &note.fleet.services {
        if !map.services.contains(&service.name) {
            continue;
        }
        let mut targets = Vec::new();
        for target in &service.targets {
            if !is_usable(&note, target) {
                continue;
            }
            let key = naive.targets.insert(target.address);
            out.push(Effect::ResizePool {
                target: key,
                address: target.address,
                connections_count: target.connections_max_count,
            });
            targets.push(key);
        }
        naive.services.push(Service {
            name: service.name.as_str().into(),
            targets,
            next_target: 0,
        });
    }
}

fn is_usable(note: &Note, target: &note::Target) -> bool {
    let mut zones = note.fleet.zones.iter();
    let is_zone_in = zones.any(|zone| zone.name == target.zone && zone.state == ZoneState::In);
    is_zone_in && target.state == TargetState::In
}

fn start_query(
    naive: &mut Naive,
    caller: CallerKey,
    request: &RequestView<'_>,
    out: &mut Vec<Effect>,
) {
    let shards = naive.services.iter().map(|service| Shard {
        service: service.name.clone(),
        body: None,
    });
    let key = naive.queries.insert(Query {
        caller,
        request_id: request.request_id.into(),
        snapshot: None,
        shards: shards.collect(),
        calls_pending_count: naive.services.len(),
    });
    let body = Bytes::copy_from_slice(request.body);
    for (shard_index, service) in naive.services.iter_mut().enumerate() {
        if service.targets.is_empty() {
            continue;
        }
        let target = service.targets[service.next_target % service.targets.len()];
        service.next_target += 1;
        out.push(Effect::Call(TargetCall {
            call: naive.calls.insert((key, shard_index)),
            target,
            address: naive.targets[target],
            request_id: request.request_id.into(),
            snapshot: None,
            timeout: request.timeout,
            is_idempotent: true,
            body: body.clone(),
        }));
    }
    out.push(Effect::SetTimer {
        timer: Timer::Deadline(key),
        after: request.timeout.saturating_sub(ANSWER_RESERVE),
    });
}

/// Time reserved for returning the answer to the caller before the request's timeout.
const ANSWER_RESERVE: Duration = Duration::from_millis(2);

fn end_call(
    naive: &mut Naive,
    call: CallKey,
    result: Option<(Snapshot, Bytes)>,
    out: &mut Vec<Effect>,
) {
    let Some((key, shard_index)) = naive.calls.remove(call) else {
        return;
    };
    let Some(query) = naive.queries.get_mut(key) else {
        return;
    };
    query.calls_pending_count -= 1;
    if let Some((snapshot, body)) = result {
        query.snapshot.get_or_insert(snapshot);
        query.shards[shard_index].body = Some(body);
    }
    if query.calls_pending_count == 0 {
        answer_query(naive, key, out);
    }
}

fn answer_query(naive: &mut Naive, key: QueryKey, out: &mut Vec<Effect>) {
    let Some(query) = naive.queries.remove(key) else {
        return;
    };
    let total_count = u32::try_from(query.shards.len()).unwrap_or(u32::MAX);
    let mut results = Vec::new();
    let mut missing = Vec::new();
    for Shard { service, body } in query.shards {
        match body {
            Some(body) => results.push(ShardResult { service, body }),
            None => missing.push(Missing {
                service,
                reason: MissingReason::Late,
            }),
        }
    }
    let answered_count = u32::try_from(results.len()).unwrap_or(u32::MAX);
    let outcome = match (answered_count, total_count) {
        (_, 0) => Outcome::NotRun(NotRunReason::NoTarget),
        (0, _) => Outcome::Unknown(UnknownReason::DeadlinePassed),
        _ => Outcome::Ran,
    };
    let answer = Answer {
        request_id: query.request_id.to_string(),
        outcome,
        snapshot: query.snapshot,
        coverage: Coverage {
            answered_count,
            total_count,
            missing,
        },
        results,
    };
    out.push(Effect::Answer {
        caller: query.caller,
        answer: Box::new(answer),
    });
}
