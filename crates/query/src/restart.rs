//! Pinning a query to a snapshot, and restarting it on a newer one.

use std::time::{Duration, Instant};

use model::{Counter, Effect, QueryKey, ServiceKey, Snapshot};
use route::{Front, Routes, SnapshotCoverage};

use crate::{Cause, Queries, Query, Shard, ShardState, answer::cancel_calls, hedge, shard};

/// Limit of restarts per query. If the targets of a front serve different snapshots for long, the
/// query gets a partial answer instead.
const RESTARTS_MAX_COUNT: u32 = 3;
/// A query is restarted only if more than this many times the median latency of its slowest service
/// is left until the deadline.
const RESTART_MEDIAN_FACTOR: u32 = 3;

/// Pins a snapshot, if the front has a shard map, and calls a target of every service.
pub(crate) fn start_attempt(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    out: &mut Vec<Effect>,
) {
    let Some(query) = queries.queries.get_mut(key) else {
        return;
    };
    let pinned = routes.fronts.get(&query.front).and_then(|front| {
        Some((
            front,
            select_snapshot(routes, front, query.service.as_deref())?,
        ))
    });
    if let Some((front, (snapshot, services))) = pinned {
        pin(query, routes, front, snapshot, services);
    }
    let restart_count = query.restart_count;
    for shard_index in 0..query.shards.len() {
        let called =
            shard::send_or_enqueue(queries, routes, now, key, shard_index, Cause::Primary, out);
        let Err(reason) = called else { continue };
        shard::handle_no_target(queries, routes, now, key, shard_index, reason, out);
        let is_same_attempt = queries
            .queries
            .get(key)
            .is_some_and(|query| query.restart_count == restart_count);
        if !is_same_attempt {
            return;
        }
    }
    hedge::arm_timer(queries, now, key, out);
}

/// Restarts a query on a newer snapshot, if there is one and enough time is left; returns whether
/// it did.
///
/// The results so far are discarded and the calls in flight are cancelled, so that an answer never
/// mixes results of two snapshots.
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
    let Some((snapshot, services)) = select_snapshot(routes, front, query.service.as_deref())
    else {
        return false;
    };
    let is_newer = query.snapshot.is_none_or(|known| snapshot > known);
    let needed = max_median_latency(routes, services) * RESTART_MEDIAN_FACTOR;
    let time_left = query.deadline.saturating_duration_since(now);
    let is_permitted = query.ticket.is_none() && query.restart_count < RESTARTS_MAX_COUNT;
    if !is_newer || !is_permitted || time_left <= needed {
        return false;
    }
    query.restart_count += 1;
    let shards = std::mem::take(&mut query.shards);
    let calls: Vec<_> = shards.into_iter().flat_map(|shard| shard.calls).collect();
    query.evidence.running_count += u32::try_from(calls.len()).unwrap_or(u32::MAX);
    cancel_calls(queries, routes, now, &calls, out);
    out.push(Effect::Count {
        counter: Counter::SnapshotRestarts,
        amount_count: 1,
    });
    start_attempt(queries, routes, now, key, out);
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
        let Some(service_row) = routes.services.get(service) else {
            continue;
        };
        query.shards.push(Shard {
            service,
            name: service_row.name.clone(),
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

/// Returns the snapshot with the widest coverage of its shard map, and the requested services of
/// that map.
///
/// Of several such snapshots the newest one is returned. If no target is eligible, the newest shard
/// map determines which services are reported as missing.
fn select_snapshot<'a>(
    routes: &Routes,
    front: &'a Front,
    requested: Option<&str>,
) -> Option<(Snapshot, &'a [ServiceKey])> {
    let mut last_snapshot = Snapshot::MAX;
    let mut best: Option<(SnapshotCoverage, &[ServiceKey])> = None;
    for map in front.shard_maps.iter().rev() {
        let services = requested_services(routes, &map.services, requested);
        // A map applies up to the snapshot before the next map's first one.
        let bounds = map.from_snapshot..=last_snapshot;
        let coverage = route::best_snapshot(routes, services, &front.zones, &bounds);
        if let Some(coverage) = coverage
            && best.is_none_or(|best| has_wider_coverage((coverage, services), best))
        {
            best = Some((coverage, services));
        }
        last_snapshot = map.from_snapshot.saturating_sub(1);
    }
    if let Some((coverage, services)) = best {
        return Some((coverage.snapshot, services));
    }
    let newest_map = front.shard_maps.last()?;
    let services = requested_services(routes, &newest_map.services, requested);
    Some((newest_map.from_snapshot, services))
}

/// Returns the services to call: all, or only the one that the request names.
fn requested_services<'a>(
    routes: &Routes,
    services: &'a [ServiceKey],
    requested: Option<&str>,
) -> &'a [ServiceKey] {
    let Some(requested) = requested else {
        return services;
    };
    let is_requested = |&key: &ServiceKey| {
        let service = routes.services.get(key);
        service.is_some_and(|service| &*service.name == requested)
    };
    let position = services.iter().position(is_requested);
    position.map_or(&[], |position| &services[position..=position])
}

/// Returns whether `one` covers a larger part of its own shard map than `other` does of its own.
fn has_wider_coverage(
    one: (SnapshotCoverage, &[ServiceKey]),
    other: (SnapshotCoverage, &[ServiceKey]),
) -> bool {
    one.0.services_count * other.1.len() > other.0.services_count * one.1.len()
}

fn max_median_latency(routes: &Routes, services: &[ServiceKey]) -> Duration {
    let services = services.iter().filter_map(|&key| routes.services.get(key));
    let medians = services.map(|service| service.latency.median);
    medians.max().unwrap_or_default()
}
