//! Views of the membership: the instance's share of the targets' connections, and its zone.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{MemberRow, MemberState};
use xxhash_rust::xxh3::xxh3_64;

use crate::{FleetState, Member};

/// Returns the number of instances that may hold connections to targets, including this one.
///
/// Leaving and suspected instances are counted, and so are gone ones that the platform still lists.
pub fn connection_holders_count(fleet: &FleetState) -> u32 {
    u32::try_from(connection_holders(fleet).len()).unwrap_or(u32::MAX)
}

/// Returns the position of this instance, counted from 0, among the instances that may hold
/// connections, sorted by name.
pub fn connection_holder_rank(fleet: &FleetState) -> u32 {
    let before = connection_holders(fleet)
        .into_iter()
        .take_while(|name| *name < fleet.id.name.as_str());
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

fn connection_holders(fleet: &FleetState) -> BTreeSet<&str> {
    let may_hold = |member: &&Member| member.is_present() || member.is_listed;
    let others = fleet.members.values().filter(may_hold);
    let names = others.map(|member| member.row.id.name.as_str());
    names.chain([fleet.id.name.as_str()]).collect()
}

/// Assumed capacity of an instance that does not publish one.
const DEFAULT_CAPACITY_MILLICORES: u32 = 1000;

/// Returns this instance's share of the CPU capacity of all instances that may hold connections.
pub fn capacity_ratio(fleet: &FleetState) -> f64 {
    let own = stated_millicores(fleet.capacity_millicores);
    let members = fleet.members.values();
    let others = members.filter(|member| member.is_present() || member.is_listed);
    let others: f64 = others
        .map(|member| stated_millicores(member.row.capacity_millicores))
        .sum();
    own / (own + others)
}

fn stated_millicores(millicores: u32) -> f64 {
    match millicores {
        0 => f64::from(DEFAULT_CAPACITY_MILLICORES),
        stated => f64::from(stated),
    }
}

/// Returns a hash of the name and the share of the CPU capacity of each instance, this one first,
/// that may send requests to targets.
///
/// One that is gone without having left may be cut off and still send requests, so it counts for a
/// while: shares do not grow.
pub fn capacity_shares(fleet: &FleetState, now: Instant) -> Vec<(u64, f64)> {
    let members = fleet
        .members
        .values()
        .filter(|member| member.is_present() || member.is_listed || may_be_cut_off(member, now));
    let others = members.map(|member| (&member.row.id.name, member.row.capacity_millicores));
    let own = (&fleet.id.name, fleet.capacity_millicores);
    let all = std::iter::once(own).chain(others);
    let all: Vec<(u64, f64)> = all
        .map(|(name, millicores)| (xxh3_64(name.as_bytes()), stated_millicores(millicores)))
        .collect();
    let sum: f64 = all.iter().map(|(_, millicores)| millicores).sum();
    all.into_iter()
        .map(|(hash, millicores)| (hash, millicores / sum))
        .collect()
}

/// Returns the rows of the other instances that understand permits and may be running: those that
/// are present or have disappeared without leaving, which may be cut off and still issue permits.
pub fn permit_members(fleet: &FleetState, now: Instant) -> impl Iterator<Item = &MemberRow> {
    let members = fleet.members.values().filter(move |member| {
        let is_counted = match member.row.state {
            MemberState::Alive | MemberState::Suspected => !member.has_left,
            MemberState::Leaving => false,
            MemberState::Gone => may_be_cut_off(member, now),
        };
        is_counted && member.row.understands_permits
    });
    members.map(|member| &member.row)
}

/// Returns the zones of all known instances, for a deployment whose settings state none.
pub fn known_zones(fleet: &FleetState) -> BTreeSet<&str> {
    let zones = fleet.members.values().map(|member| &*member.row.zone);
    zones.chain([&*fleet.zone]).collect()
}

/// Returns whether a message of another instance has arrived since the start.
pub fn has_heard_another(fleet: &FleetState) -> bool {
    let mut members = fleet.members.values();
    members.any(|member| member.heard_at.is_some())
}

/// Returns the peer addresses of the instances that are alive in this instance's zone and whose CPU
/// capacity is at least `factor` times its own; empty if it has no configured capacity.
pub fn larger_in_zone(fleet: &FleetState, factor: u32) -> Vec<SocketAddr> {
    let min_millicores = fleet.capacity_millicores.saturating_mul(factor);
    if min_millicores == 0 {
        return Vec::new();
    }
    let members = alive_in_zone(fleet);
    let larger = members.filter(|member| member.row.capacity_millicores >= min_millicores);
    larger.map(|member| member.row.address).collect()
}

/// Returns the peer addresses of the other instances that are alive in this instance's zone.
pub fn zone_peer_addresses(fleet: &FleetState) -> Vec<SocketAddr> {
    alive_in_zone(fleet)
        .map(|member| member.row.address)
        .collect()
}

/// Returns when a message from another zone last arrived, or `None` if none ever did.
pub fn other_zones_last_contact_at(fleet: &FleetState) -> Option<Instant> {
    let members = fleet.members.values();
    let others = members.filter(|member| member.row.zone != fleet.zone);
    others.filter_map(|member| member.heard_at).max()
}

/// Time without a message from any other instance after which this one is out of contact.
const OUT_OF_CONTACT_AFTER: Duration = Duration::from_secs(2);
/// Time for which an instance that is gone still counts as one that may be running elsewhere: as
/// long as a quarantine lasts by default.
const GONE_COUNTED: Duration = Duration::from_secs(600);

/// Returns whether this instance is in contact with less than half of the instances, so that most
/// of what the fleet observes does not reach it.
///
/// Whether the others are cut off or have crashed cannot be told apart; those that leave do not
/// count.
pub fn is_in_minority(fleet: &FleetState, now: Instant) -> bool {
    let members = fleet.members.values();
    let counted = members.filter(|member| match member.row.state {
        MemberState::Alive | MemberState::Suspected => true,
        MemberState::Gone => may_be_cut_off(member, now),
        MemberState::Leaving => false,
    });
    let (mut others_count, mut alive_count) = (0, 0);
    let mut last_heard_at: Option<Instant> = None;
    for member in counted {
        others_count += 1;
        alive_count += usize::from(member.row.state == MemberState::Alive);
        last_heard_at = last_heard_at.max(member.heard_at);
    }
    let is_silent = last_heard_at.is_some_and(|at| now >= at + OUT_OF_CONTACT_AFTER);
    let is_any_known = others_count > 0 && last_heard_at.is_some();
    is_any_known && (is_silent || 2 * (alive_count + 1) < others_count + 1)
}

/// Returns whether a gone member may be running and only cut off from this instance.
fn may_be_cut_off(member: &Member, now: Instant) -> bool {
    !member.has_left && now < member.since + GONE_COUNTED
}

fn alive_in_zone(fleet: &FleetState) -> impl Iterator<Item = &Member> {
    let members = fleet.members.values();
    members.filter(|member| member.row.state == MemberState::Alive && member.row.zone == fleet.zone)
}
