//! This instance's share of the connections and of the cold-start limit of every target.

use std::time::{Duration, Instant};

use model::{Effect, ServiceKey, TargetKey};
use serde::Serialize;

use crate::{Routes, cold_start};

/// Delay between a change of the set of instances and the use of a larger share. The other
/// instances need this time to learn of the change and to close the connections beyond their own
/// new share.
pub const GROWTH_DELAY: Duration = Duration::from_secs(3);

/// The set of instances that divide the limits of every target among themselves.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Division {
    /// Instances that may hold connections: those that are live, leaving or suspected.
    pub instances_count: u32,
    /// Rank of this instance among them, from 0.
    pub own_rank: u32,
    /// When the first tick after the last change ran; `None` before that tick. It is used only
    /// while `is_growing`.
    #[serde(skip)]
    pub changed_at: Option<Instant>,
    /// Whether larger shares wait for [`GROWTH_DELAY`] to pass.
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

/// Returns the share of one rank in `total_count`; the shares of all ranks add up to the total.
///
/// The remainder goes to consecutive ranks, one each, at a position given by `offset`.
pub fn rank_share(total_count: u32, instances_count: u32, rank: u32, offset: u32) -> u32 {
    let instances_count = instances_count.max(1);
    let position = (rank % instances_count + offset % instances_count) % instances_count;
    total_count / instances_count + u32::from(position < total_count % instances_count)
}

/// Recomputes the shares of all targets after the set of instances has changed.
///
/// Smaller shares apply at once; larger ones only [`GROWTH_DELAY`] later, when every other instance
/// has closed the connections beyond its own share.
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
    update_shares(
        routes,
        |held_count, entitled_count| held_count.min(entitled_count),
        out,
    );
}

/// Applies larger shares once the other instances have had time to reduce theirs.
pub(crate) fn grow_shares(routes: &mut Routes, now: Instant, out: &mut Vec<Effect>) {
    let division = &mut routes.division;
    if !division.is_growing {
        return;
    }
    let changed_at = *division.changed_at.get_or_insert(now);
    if now < changed_at + GROWTH_DELAY {
        return;
    }
    division.is_growing = false;
    update_shares(routes, |_, entitled_count| entitled_count, out);
}

/// Returns the share of this instance in a limit of a target.
pub(crate) fn own_share(routes: &Routes, limit_count: u32, offset: u32) -> u32 {
    let division = &routes.division;
    rank_share(
        limit_count,
        division.instances_count,
        division.own_rank,
        offset,
    )
}

/// Offsets by which the remainders of a target's limits are given to instances. Every replica of a
/// service continues where the previous one stopped, so that with small limits every instance still
/// has a share of some replica.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct RemainderOffsets {
    /// Sum of the connection limits of the service's replicas up to this one, plus the service's
    /// start value; it wraps around.
    pub connections_count: u32,
    /// The same sum of the cold-start limits.
    pub cold_count: u32,
}

impl RemainderOffsets {
    /// Returns the offsets before the first replica, which depend on the name of the service.
    pub(crate) fn of_service(service_name: &str) -> RemainderOffsets {
        let name_sum: u32 = service_name.bytes().map(u32::from).sum();
        RemainderOffsets {
            connections_count: name_sum,
            cold_count: name_sum,
        }
    }

    /// Returns the offsets of the next replica.
    pub(crate) fn next_replica(self, target: &note::Target) -> RemainderOffsets {
        RemainderOffsets {
            connections_count: self
                .connections_count
                .wrapping_add(target.connections_max_count),
            cold_count: self.cold_count.wrapping_add(target.cold_bearable_count),
        }
    }
}

/// Recomputes the shares of all targets. `resize` returns the new share from the held and the
/// entitled one.
fn update_shares(routes: &mut Routes, resize: impl Fn(u32, u32) -> u32, out: &mut Vec<Effect>) {
    let services: Vec<ServiceKey> = routes.services.keys().collect();
    for service in services {
        let keys: Vec<TargetKey> = routes.services[service].targets.clone();
        for key in keys {
            update_target_shares(routes, key, &resize, out);
        }
    }
}

fn update_target_shares(
    routes: &mut Routes,
    key: TargetKey,
    resize: impl Fn(u32, u32) -> u32,
    out: &mut Vec<Effect>,
) {
    let target = &routes.targets[key];
    let entitled_count = own_share(
        routes,
        target.connections_max_count,
        target.offsets.connections_count,
    );
    let share_count = resize(target.share_count, entitled_count);
    let cold_count = cold_start::cold_share(&routes.division, target);
    let target = &mut routes.targets[key];
    target.cold_share_count = resize(target.cold_share_count, cold_count);
    let held_count = std::mem::replace(&mut target.share_count, share_count);
    if share_count == held_count {
        return;
    }
    out.push(Effect::ResizePool {
        target: key,
        address: target.address,
        connections_count: share_count,
    });
    if share_count > held_count {
        preconnect(key, share_count, out);
    }
}

/// Opens connections before they are needed, because opening one delays a call by several
/// milliseconds.
pub(crate) fn preconnect(key: TargetKey, connections_count: u32, out: &mut Vec<Effect>) {
    if connections_count == 0 {
        return;
    }
    out.push(Effect::ProbeLoad {
        target: key,
        connections_count,
    });
}
