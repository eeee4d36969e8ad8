//! Accepting requests and starting their queries.

use std::time::Instant;

use bytes::Bytes;
use model::{Effect, ExecutionKind, QueryKey, RequestView, Requester, Timer};
use once::Evidence;
use route::Routes;

use crate::{
    FinishedQuery, Queries, Query, restart::start_attempt, shard::finish_if_complete,
    tick::detect_pause,
};

/// Stores a request as a queued query and sets its deadline timer.
pub fn accept(
    queries: &mut Queries,
    settings: &settings::Query,
    now: Instant,
    requester: Requester,
    request: &RequestView<'_>,
    out: &mut Vec<Effect>,
) -> QueryKey {
    let timeout = request.timeout.min(settings.timeout_max);
    let timeout = timeout.saturating_sub(settings.answer_reserve);
    let ticket = match request.kind {
        ExecutionKind::Idempotent => None,
        ExecutionKind::Once { ticket } => Some(ticket.to_owned()),
    };
    let key = queries.queries.insert(Query {
        requester,
        request_id: request.request_id.into(),
        front: request.front.to_owned(),
        service: request.service.map(str::to_owned),
        priority: request.priority,
        ticket,
        deadline: now + timeout,
        body: Bytes::copy_from_slice(request.body),
        is_running: false,
        started_at: None,
        restart_count: 0,
        hedge_due: None,
        snapshot: None,
        zones: Vec::new(),
        shards: Vec::new(),
        open_count: 0,
        evidence: Evidence::default(),
    });
    out.push(Effect::SetTimer {
        timer: Timer::Deadline(key),
        after: timeout,
    });
    key
}

/// Pins a snapshot and calls one target of every service.
///
/// Returns the finished query if no service can be called.
pub fn start(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    out: &mut Vec<Effect>,
) -> Option<FinishedQuery> {
    detect_pause(queries, now);
    let query = queries.queries.get_mut(key)?;
    query.is_running = true;
    query.started_at = Some(now);
    start_attempt(queries, routes, now, key, out);
    finish_if_complete(queries, routes, now, key, out)
}
