//! How many instances share the targets' connections, and this instance's place among them.

use std::collections::BTreeSet;

use crate::{FleetState, Member};

/// Returns the number of instances that may hold connections to targets, this one included.
///
/// Instances that leave or are suspected count, and so does one that counts as gone here while the
/// platform still lists it.
pub fn may_hold_count(fleet: &FleetState) -> u32 {
    u32::try_from(holders(fleet).len()).unwrap_or(u32::MAX)
}

/// Returns this instance's place, counted from 0, among the instances that may hold connections.
pub fn own_rank(fleet: &FleetState) -> u32 {
    let before = holders(fleet)
        .into_iter()
        .take_while(|name| *name < fleet.id.name.as_str());
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

fn holders(fleet: &FleetState) -> BTreeSet<&str> {
    let may_hold = |member: &&Member| member.is_present() || member.is_listed;
    let others = fleet.members.values().filter(may_hold);
    let names = others.map(|member| member.row.id.name.as_str());
    names.chain([fleet.id.name.as_str()]).collect()
}
