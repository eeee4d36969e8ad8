//! How many instances share the targets' connections, and this instance's place among them.

use std::{collections::BTreeSet, net::SocketAddr, time::Instant};

use model::MemberState;

use crate::{FleetState, Member};

/// Returns the number of instances that may hold connections to targets, this one included.
///
/// Instances that leave or are suspected count, and so does one that counts as gone here while the
/// platform still lists it.
pub fn may_hold_count(fleet: &FleetState) -> u32 {
    u32::try_from(connection_holders(fleet).len()).unwrap_or(u32::MAX)
}

/// Returns this instance's place, counted from 0, among the instances that may hold connections.
pub fn own_rank(fleet: &FleetState) -> u32 {
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

/// Capacity that counts for an instance that states none.
const DEFAULT_CAPACITY_MILLICORES: u32 = 1000;

/// Returns this instance's part of the processor time of all instances that may hold connections.
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

/// Returns the peers' ports of the instances of this one's zone that have a multiple of its
/// processor time.
pub fn larger_in_zone(fleet: &FleetState, factor: u32) -> Vec<SocketAddr> {
    let least = fleet.capacity_millicores.saturating_mul(factor);
    if least == 0 {
        return Vec::new();
    }
    let members = alive_in_zone(fleet);
    let larger = members.filter(|member| member.row.capacity_millicores >= least);
    larger.map(|member| member.row.address).collect()
}

/// Returns the peers' ports of the other live instances of this one's zone.
pub fn zone_addresses(fleet: &FleetState) -> Vec<SocketAddr> {
    alive_in_zone(fleet)
        .map(|member| member.row.address)
        .collect()
}

/// Returns when an instance of another zone was last heard; nothing if none ever was.
pub fn other_zones_heard_at(fleet: &FleetState) -> Option<Instant> {
    let members = fleet.members.values();
    let others = members.filter(|member| member.row.zone != fleet.zone);
    others.filter_map(|member| member.heard_at).max()
}

fn alive_in_zone(fleet: &FleetState) -> impl Iterator<Item = &Member> {
    let members = fleet.members.values();
    members.filter(|member| member.row.state == MemberState::Alive && member.row.zone == fleet.zone)
}
