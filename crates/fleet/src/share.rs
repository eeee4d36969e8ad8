//! Views of the membership: the instance's share of the targets' connections, and its zone.

use std::{collections::BTreeSet, net::SocketAddr, time::Instant};

use model::MemberState;

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
    let stated = |millicores: u32| match millicores {
        0 => f64::from(DEFAULT_CAPACITY_MILLICORES),
        stated => f64::from(stated),
    };
    let own = stated(fleet.capacity_millicores);
    let members = fleet.members.values();
    let others = members.filter(|member| member.is_present() || member.is_listed);
    let others: f64 = others
        .map(|member| stated(member.row.capacity_millicores))
        .sum();
    own / (own + others)
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

fn alive_in_zone(fleet: &FleetState) -> impl Iterator<Item = &Member> {
    let members = fleet.members.values();
    members.filter(|member| member.row.state == MemberState::Alive && member.row.zone == fleet.zone)
}
