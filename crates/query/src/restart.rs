//! Pinning a snapshot, and starting again on a newer one.

use std::time::{Duration, Instant};

use model::{Counter, Effect, QueryKey, ServiceKey, Snapshot};
use route::{Front, Routes, SnapshotCoverage};

use crate::{Cause, Queries, Query, Shard, ShardState, answer::cancel_calls, hedge, shard};

/// Restarts of one query, so that a front whose targets disagree for long is answered in part.
const RESTARTS_MAX_COUNT: u32 = 3;
/// A restart needs this many times the median latency of the slowest service until the deadline.
const TIME_LEFT_MEDIANS_COUNT: u32 = 3;

/// Pins a snapshot, if the front has one, and calls a target of every service.
pub(crate) fn begin(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    out: &mut Vec<Effect>,
) {
    let Some(query) = queries.queries.get_mut(key) else {
        return;
    };
    let pinned = routes
        .fronts
        .get(&query.front)
        .and_then(|front| Some((front, pinned(routes, front, query.service.as_deref())?)));
    if let Some((front, (snapshot, services))) = pinned {
        pin(query, routes, front, snapshot, services);
    }
    let attempt_count = query.attempt_count;
    for shard_index in 0..query.shards.len() {
        let called = shard::call(queries, routes, now, key, shard_index, Cause::Primary, out);
        let Err(reason) = called else { continue };
        shard::fail(queries, routes, now, key, shard_index, reason, out);
        let is_same_attempt = queries
            .queries
            .get(key)
            .is_some_and(|query| query.attempt_count == attempt_count);
        if !is_same_attempt {
            return;
        }
    }
    hedge::arm(queries, now, key, out);
}

/// Starts a query again on a newer snapshot, if there is one and the time allows.
///
/// Everything that was read so far is dropped, and the calls in flight are cancelled, so that
/// results of two snapshots cannot meet.
pub(crate) fn restart(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    out: &mut Vec<Effect>,
) -> bool {
    let Some(query) = queries.queries.get_mut(key) else {
        return false;
    };
    let Some(front) = routes.fronts.get(&query.front) else {
        return false;
    };
    let Some((snapshot, services)) = pinned(routes, front, query.service.as_deref()) else {
        return false;
    };
    let is_newer = query.snapshot.is_none_or(|known| snapshot > known);
    let needed = longest_median(routes, services) * TIME_LEFT_MEDIANS_COUNT;
    let time_left = query.deadline.saturating_duration_since(now);
    let is_permitted = query.ticket.is_none() && query.attempt_count < RESTARTS_MAX_COUNT;
    if !is_newer || !is_permitted || time_left <= needed {
        return false;
    }
    query.attempt_count += 1;
    let shards = std::mem::take(&mut query.shards);
    let calls: Vec<_> = shards.into_iter().flat_map(|shard| shard.calls).collect();
    query.evidence.running_count += u32::try_from(calls.len()).unwrap_or(u32::MAX);
    cancel_calls(queries, routes, now, &calls, out);
    out.push(Effect::Count {
        counter: Counter::SnapshotRestarts,
        amount_count: 1,
    });
    begin(queries, routes, now, key, out);
    true
}

fn pin(
    query: &mut Query,
    routes: &Routes,
    front: &Front,
    snapshot: Snapshot,
    services: &[ServiceKey],
) {
    query.snapshot = Some(snapshot);
    query.zones.clone_from(&front.zones);
    query.shards.clear();
    for &service in services {
        let Some(row) = routes.services.get(service) else {
            continue;
        };
        query.shards.push(Shard {
            service,
            name: row.name.clone(),
            state: ShardState::Open,
            tried: Vec::new(),
            calls: Vec::new(),
            lost_count: 0,
            is_retry_barred: false,
            late_at: None,
        });
    }
    query.open_count = u32::try_from(query.shards.len()).unwrap_or(u32::MAX);
}

/// Returns the snapshot that covers most of the front, and the wanted services of its shard map.
///
/// Among equals the newest one is taken. If no target can be read, the newest shard map tells which
/// services are missing.
fn pinned<'a>(
    routes: &Routes,
    front: &'a Front,
    wanted: Option<&str>,
) -> Option<(Snapshot, &'a [ServiceKey])> {
    let mut last_snapshot = Snapshot::MAX;
    let mut best: Option<(SnapshotCoverage, &[ServiceKey])> = None;
    for map in front.shard_maps.iter().rev() {
        let services = wanted_services(routes, &map.services, wanted);
        // Snapshots from the next map's first one on are divided differently.
        let bounds = map.from_snapshot..=last_snapshot;
        let cover = route::best_snapshot(routes, services, &front.zones, &bounds);
        if let Some(cover) = cover
            && best.is_none_or(|best| covers_more((cover, services), best))
        {
            best = Some((cover, services));
        }
        last_snapshot = map.from_snapshot.saturating_sub(1);
    }
    if let Some((cover, services)) = best {
        return Some((cover.snapshot, services));
    }
    let newest_map = front.shard_maps.last()?;
    let services = wanted_services(routes, &newest_map.services, wanted);
    Some((newest_map.from_snapshot, services))
}

/// Returns the services that the request asks for: one, if it names one.
fn wanted_services<'a>(
    routes: &Routes,
    services: &'a [ServiceKey],
    wanted: Option<&str>,
) -> &'a [ServiceKey] {
    let Some(wanted) = wanted else {
        return services;
    };
    let is_wanted = |&key: &ServiceKey| {
        let service = routes.services.get(key);
        service.is_some_and(|service| &*service.name == wanted)
    };
    let position = services.iter().position(is_wanted);
    position.map_or(&[], |position| &services[position..=position])
}

/// Tells whether a snapshot covers a larger part of its own shard map than another one of its.
fn covers_more(
    one: (SnapshotCoverage, &[ServiceKey]),
    other: (SnapshotCoverage, &[ServiceKey]),
) -> bool {
    one.0.services_count * other.1.len() > other.0.services_count * one.1.len()
}

fn longest_median(routes: &Routes, services: &[ServiceKey]) -> Duration {
    let rows = services.iter().filter_map(|&key| routes.services.get(key));
    let medians = rows.map(|row| row.latency.median);
    medians.max().unwrap_or_default()
}
