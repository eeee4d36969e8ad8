//! Measures how the connection limits of targets are divided among instances.

use std::collections::BTreeMap;

use route::Routes;
use slotmap::Key;

use crate::fixtures;

/// Services of a query at the fleet size expected in two years.
const SERVICES_PER_QUERY_COUNT: u32 = 240;
/// Replicas of each service at that size: 2,700 targets for 240 services.
const REPLICAS_PER_SERVICE_COUNT: u32 = 11;
/// Rank of the instance that leaves in the measurement of moved connections.
const LEAVING_RANK: u32 = 1;
/// Maximum number of instances whose routes are inspected; the results are their means.
const SAMPLED_INSTANCES_COUNT: u32 = 16;

/// The quantities of [`by_instances_25`] and [`by_instances_100`].
pub const QUANTITIES: &[&str] = &[
    "connections_per_target_count",
    "usable_targets_ratio",
    "reachable_services_ratio",
    "moved_connections_ratio",
];

/// Measures, by number of instances, the connections of all instances to a target, the share of
/// targets and services that an instance can use, and the share of its connections that it gives
/// up when another instance leaves. A target accepts 25 connections.
pub fn by_instances_25(instances_count: u32) -> Vec<f64> {
    by_instances(instances_count, 25)
}

/// Like [`by_instances_25`], where a target accepts 100 connections.
pub fn by_instances_100(instances_count: u32) -> Vec<f64> {
    by_instances(instances_count, 100)
}

fn by_instances(instances_count: u32, connections_max_count: u32) -> Vec<f64> {
    let samples_count = SAMPLED_INSTANCES_COUNT.min(instances_count - 1);
    let mut sums = [0.0; 4];
    for sample in 0..samples_count {
        let rank = sample * (instances_count - 1) / samples_count;
        let before = build_routes(instances_count, rank, connections_max_count);
        let rank_after = if rank > LEAVING_RANK { rank - 1 } else { rank };
        let after = build_routes(instances_count - 1, rank_after, connections_max_count);
        let connections_count: u32 = before
            .targets
            .values()
            .map(|target| target.share_count)
            .sum();
        let usable = before
            .targets
            .values()
            .filter(|target| target.share_count > 0);
        let reachable = before.services.values().filter(|service| {
            let mut targets = service.targets.iter();
            targets.any(|&target| before.targets[target].share_count > 0)
        });
        let moved_count = count_lost_connections(&before, &after);
        sums[0] += f64::from(connections_count * instances_count) / before.targets.len() as f64;
        sums[1] += usable.count() as f64 / before.targets.len() as f64;
        sums[2] += reachable.count() as f64 / before.services.len() as f64;
        sums[3] += f64::from(moved_count) / f64::from(connections_count.max(1));
    }
    sums.map(|sum| sum / f64::from(samples_count)).to_vec()
}

/// Returns the routes of the instance at a rank.
fn build_routes(instances_count: u32, rank: u32, connections_max_count: u32) -> Routes {
    let mut note =
        fixtures::note_with_replicas(0, SERVICES_PER_QUERY_COUNT, REPLICAS_PER_SERVICE_COUNT);
    for target in note
        .fleet
        .services
        .iter_mut()
        .flat_map(|service| &mut service.targets)
    {
        target.connections_max_count = connections_max_count;
    }
    let mut routes = Routes::default();
    let mut effects = Vec::new();
    route::set_instances(&mut routes, instances_count, rank, &mut effects);
    route::apply(&mut routes, &note, &mut effects);
    routes
}

/// Counts the connections that are part of `before` but not of `after`.
fn count_lost_connections(before: &Routes, after: &Routes) -> u32 {
    let shares = |routes: &Routes| -> BTreeMap<u64, u32> {
        let targets = routes.targets.iter();
        targets
            .map(|(key, target)| (key.data().as_ffi(), target.share_count))
            .collect()
    };
    let after = shares(after);
    let lost = shares(before)
        .into_iter()
        .map(|(key, count)| count.saturating_sub(after.get(&key).copied().unwrap_or(0)));
    lost.sum()
}
