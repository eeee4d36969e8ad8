//! Storing a request and starting its fan-out.

use std::time::Instant;

use bytes::Bytes;
use model::{Effect, Kind, QueryKey, RequestView, Requester, ServiceKey, Timer, ZoneKey};
use once::Evidence;
use route::{Front, Routes};

use crate::{Finished, Queries, Query, Shard, ShardState, answer::finish, send::send_primary};

/// Stores a request as a waiting query and sets the timer of its deadline.
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
        Kind::Idempotent => None,
        Kind::Once { ticket } => Some(ticket.to_owned()),
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
/// Returns the end of the query if no service can be called.
pub fn start(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    out: &mut Vec<Effect>,
) -> Option<Finished> {
    let query = queries.queries.get_mut(key)?;
    query.is_running = true;
    if let Some(front) = routes.fronts.get(&query.front) {
        pin(query, routes, front);
    }
    for shard_index in 0..query.shards.len() {
        send_primary(queries, routes, now, key, shard_index, out);
    }
    finish_if_complete(queries, routes, now, key, out)
}

/// Ends a query none of whose shards is open.
pub(crate) fn finish_if_complete(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    out: &mut Vec<Effect>,
) -> Option<Finished> {
    if queries.queries.get(key)?.open_count > 0 {
        return None;
    }
    finish(queries, routes, now, key, out)
}

fn pin(query: &mut Query, routes: &Routes, front: &Front) {
    let Some((snapshot, services)) = pinned(routes, front) else {
        return;
    };
    query.snapshot = Some(snapshot);
    query.zones.clone_from(&front.zones);
    for &service in services {
        let Some(row) = routes.services.get(service) else {
            continue;
        };
        if query
            .service
            .as_deref()
            .is_some_and(|wanted| wanted != &*row.name)
        {
            continue;
        }
        query.shards.push(Shard {
            service,
            name: row.name.clone(),
            state: ShardState::Open,
            tried: Vec::new(),
            calls: Vec::new(),
        });
    }
    query.open_count = u32::try_from(query.shards.len()).unwrap_or(u32::MAX);
}

/// Returns the newest snapshot that its own shard map can serve, and the services of that map.
fn pinned<'a>(routes: &Routes, front: &'a Front) -> Option<(u64, &'a [ServiceKey])> {
    let zones: &[ZoneKey] = &front.zones;
    for map in front.shard_maps.iter().rev() {
        let newest = route::newest_snapshot(routes, &map.services, zones);
        if let Some(snapshot) = newest.filter(|&snapshot| snapshot >= map.from_snapshot) {
            return Some((snapshot, &map.services));
        }
    }
    let oldest_map = front.shard_maps.first()?;
    Some((oldest_map.from_snapshot, &oldest_map.services))
}
