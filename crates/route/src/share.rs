//! This instance's share of the connections, and of the bearable load, of every target.

use std::time::{Duration, Instant};

use model::{Effect, ServiceKey, TargetKey};
use serde::Serialize;

use crate::{Routes, warmth};

/// Time from a change of the fleet until a larger share is used: the time that the other instances
/// need to hear of the change and to close what they hold beyond their own new share.
pub const GROWTH_DELAY: Duration = Duration::from_secs(3);

/// Who divides the targets among themselves.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Division {
    /// Instances that may hold connections: live, leaving and suspected ones.
    pub instances_count: u32,
    /// Position of this instance among them, from 0.
    pub own_rank: u32,
    /// When the last change was seen by a tick, while shares still have to grow.
    #[serde(skip)]
    pub changed_at: Option<Instant>,
    /// Whether shares still have to grow.
    pub is_growing: bool,
}

impl Default for Division {
    fn default() -> Division {
        Division {
            instances_count: 1,
            own_rank: 0,
            changed_at: None,
            is_growing: false,
        }
    }
}

/// Returns one instance's part of `total_count`; the parts of all ranks add up to the total.
///
/// What does not divide goes to consecutive ranks from `offset` on.
pub fn part(total_count: u32, instances_count: u32, rank: u32, offset: u32) -> u32 {
    let instances_count = instances_count.max(1);
    let position = (rank % instances_count + offset % instances_count) % instances_count;
    total_count / instances_count + u32::from(position < total_count % instances_count)
}

/// Divides the targets anew after the set of instances has changed.
///
/// Smaller shares are in force at once; larger ones only [`GROWTH_DELAY`] later, when every other
/// instance has given up what it no longer may hold.
pub fn set_instances(
    routes: &mut Routes,
    instances_count: u32,
    own_rank: u32,
    out: &mut Vec<Effect>,
) {
    let division = &mut routes.division;
    let instances_count = instances_count.max(1);
    if (division.instances_count, division.own_rank) == (instances_count, own_rank) {
        return;
    }
    division.instances_count = instances_count;
    division.own_rank = own_rank;
    division.changed_at = None;
    division.is_growing = true;
    divide(
        routes,
        |held_count, entitled_count| held_count.min(entitled_count),
        out,
    );
}

/// Takes larger shares into use once the other instances have had time to shrink theirs.
pub(crate) fn grow_when_due(routes: &mut Routes, now: Instant, out: &mut Vec<Effect>) {
    let division = &mut routes.division;
    if !division.is_growing {
        return;
    }
    let changed_at = *division.changed_at.get_or_insert(now);
    if now < changed_at + GROWTH_DELAY {
        return;
    }
    division.is_growing = false;
    divide(routes, |_, entitled_count| entitled_count, out);
}

/// Gives a target that no instance has used before its share.
pub(crate) fn first_share(routes: &Routes, connections_max_count: u32, offset: u32) -> u32 {
    let division = &routes.division;
    part(
        connections_max_count,
        division.instances_count,
        division.own_rank,
        offset,
    )
}

/// Offsets that spread what does not divide: the replicas of a service take up the ranks one after
/// the other, so that a small limit still leaves every instance some replica.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Offsets {
    /// Sum of the connections of the service's replicas up to this one.
    pub connections_count: u32,
    /// Sum of the loads that these replicas bear in cold start.
    pub cold_count: u32,
}

impl Offsets {
    /// Returns the offsets before the first replica, which differ from service to service.
    pub(crate) fn open(service_name: &str) -> Offsets {
        let name_sum: u32 = service_name.bytes().map(u32::from).sum();
        Offsets {
            connections_count: name_sum,
            cold_count: name_sum,
        }
    }

    /// Returns the offsets of the next replica.
    pub(crate) fn after(self, target: &note::Target) -> Offsets {
        Offsets {
            connections_count: self
                .connections_count
                .wrapping_add(target.connections_max_count),
            cold_count: self.cold_count.wrapping_add(target.cold_bearable_count),
        }
    }
}

fn divide(routes: &mut Routes, decide: impl Fn(u32, u32) -> u32, out: &mut Vec<Effect>) {
    let services: Vec<ServiceKey> = routes.services.keys().collect();
    for service in services {
        let keys: Vec<TargetKey> = routes.services[service].targets.clone();
        for key in keys {
            divide_target(routes, key, &decide, out);
        }
    }
}

fn divide_target(
    routes: &mut Routes,
    key: TargetKey,
    decide: impl Fn(u32, u32) -> u32,
    out: &mut Vec<Effect>,
) {
    let target = &routes.targets[key];
    let entitled_count = first_share(
        routes,
        target.connections_max_count,
        target.offsets.connections_count,
    );
    let share_count = decide(target.share_count, entitled_count);
    let cold_count = warmth::cold_share(&routes.division, target);
    let target = &mut routes.targets[key];
    target.cold_share_count = decide(target.cold_share_count, cold_count);
    let held_count = std::mem::replace(&mut target.share_count, share_count);
    if share_count == held_count {
        return;
    }
    out.push(Effect::Pool {
        target: key,
        address: target.address,
        connections_count: share_count,
    });
    if share_count > held_count {
        open_ahead(key, share_count, out);
    }
}

/// Opens connections before they are needed, because opening one costs a call several milliseconds.
pub(crate) fn open_ahead(key: TargetKey, connections_count: u32, out: &mut Vec<Effect>) {
    if connections_count == 0 {
        return;
    }
    out.push(Effect::AskLoad {
        target: key,
        connections_count,
    });
}
