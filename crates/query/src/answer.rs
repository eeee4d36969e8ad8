//! Finishing a query and building its answer.

use std::time::{Duration, Instant};

use model::{
    Answer, CallKey, Counter, Coverage, Effect, Missing, MissingReason, QueryKey, ShardResult,
};
use route::Routes;

use crate::{FinishedQuery, Queries, Query, ShardState};

/// Removes a query, cancels its calls in flight and builds its answer.
pub(crate) fn finish(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    out: &mut Vec<Effect>,
) -> Option<FinishedQuery> {
    let mut query = queries.queries.remove(key)?;
    for shard in &mut query.shards {
        let calls = std::mem::take(&mut shard.calls);
        query.evidence.running_count += u32::try_from(calls.len()).unwrap_or(u32::MAX);
        cancel_calls(queries, routes, now, &calls, out);
    }
    let Query {
        requester,
        ticket,
        front,
        ..
    } = query;
    let run_time = query
        .started_at
        .map_or(Duration::ZERO, |started_at| now - started_at);
    let answer = build_answer(
        &query.request_id,
        query.snapshot,
        query.shards,
        &query.evidence,
    );
    let counter = match answer.coverage.missing.is_empty() {
        true => Counter::CompleteAnswers,
        false => Counter::PartialAnswers,
    };
    out.push(Effect::Count {
        counter,
        amount_count: 1,
    });
    Some(FinishedQuery {
        requester,
        ticket,
        front,
        run_time,
        answer,
    })
}

/// Cancels calls. They occupy their connections until they end, but their replies are ignored.
pub(crate) fn cancel_calls(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    calls: &[CallKey],
    out: &mut Vec<Effect>,
) {
    for &key in calls {
        let Some(call) = queries.calls.get_mut(key) else {
            continue;
        };
        call.cancelled_at = Some(now);
        if call.is_counted_late && queries.resumed_at.is_none_or(|at| call.sent_at >= at) {
            route::record_cancelled_late_call(routes, call.target, now - call.sent_at);
        }
        out.push(Effect::Cancel {
            call: key,
            target: call.target,
        });
        out.push(Effect::Count {
            counter: Counter::Cancels,
            amount_count: 1,
        });
    }
}

fn build_answer(
    request_id: &str,
    snapshot: Option<u64>,
    shards: Vec<crate::Shard>,
    evidence: &once::Evidence,
) -> Answer {
    let total_count = u32::try_from(shards.len()).unwrap_or(u32::MAX);
    let mut missing = Vec::new();
    let mut results = Vec::with_capacity(shards.len());
    for shard in shards {
        let service = shard.name;
        match shard.state {
            ShardState::Answered(body) => results.push(ShardResult { service, body }),
            ShardState::Missing(reason) => missing.push(Missing { service, reason }),
            ShardState::Open => missing.push(Missing {
                service,
                reason: MissingReason::Late,
            }),
        }
    }
    let answered_count = u32::try_from(results.len()).unwrap_or(u32::MAX);
    Answer {
        request_id: request_id.to_owned(),
        outcome: once::outcome(evidence),
        snapshot,
        coverage: Coverage {
            answered_count,
            total_count,
            missing,
        },
        results,
    }
}
