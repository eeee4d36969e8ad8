//! Rows about members: their order, and what a newer row changes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{MemberRow, MemberState};

use crate::{FleetState, Member};

/// Time that the row of an instance that has gone is kept, longer than any message can be delayed.
pub(crate) const GONE_RETENTION: Duration = Duration::from_secs(2 * 3600);
/// Rows of instances that have gone that are kept at the same time.
pub(crate) const GONE_MAX_COUNT: usize = 2000;

/// Returns this instance's row about itself.
pub fn own_row(fleet: &FleetState) -> MemberRow {
    let state = if fleet.is_leaving {
        MemberState::Leaving
    } else {
        MemberState::Alive
    };
    MemberRow {
        id: fleet.id.clone(),
        address: fleet.address,
        zone: fleet.zone.clone(),
        capacity_millicores: fleet.capacity_millicores,
        counter: fleet.counter,
        state,
    }
}

/// Tells whether an instance is known, present or gone, whose peers' port has an address.
pub fn knows_address(fleet: &FleetState, address: SocketAddr) -> bool {
    let mut members = fleet.members.values();
    members.any(|member| member.row.address == address)
}

/// Tells whether a row about an instance is older than another one about the same instance.
pub fn is_before(row: &MemberRow, other: &MemberRow) -> bool {
    let precedence_key = |row: &MemberRow| (row.id.incarnation, row.counter, precedence(row.state));
    precedence_key(row) < precedence_key(other)
}

/// Takes in a row that another instance relayed or sent about itself.
pub fn merge_row(fleet: &mut FleetState, now: Instant, row: &MemberRow) {
    if row.id.name == fleet.id.name {
        refute(fleet, row);
        return;
    }
    let Some(member) = fleet.members.get_mut(&row.id.name) else {
        insert(fleet, now, row);
        return;
    };
    if !is_before(&member.row, row) {
        return;
    }
    if member.row.id.incarnation != row.id.incarnation {
        member.heard_at = None;
        member.confirmed_at = None;
    }
    if member.row.state != row.state {
        member.since = now;
    }
    member.row = row.clone();
    member.relayed_count = 0;
}

/// Changes a member's state on this instance's own evidence.
pub(crate) fn set_state(member: &mut Member, now: Instant, state: MemberState) {
    member.row.state = state;
    member.since = now;
    member.relayed_count = 0;
}

/// Forgets instances that have gone long ago.
pub(crate) fn prune_gone(fleet: &mut FleetState, now: Instant) {
    fleet.members.retain(|_, member| {
        member.is_present() || now.saturating_duration_since(member.since) < GONE_RETENTION
    });
    let gone = fleet.members.values().filter(|member| !member.is_present());
    if gone.count() <= GONE_MAX_COUNT {
        return;
    }
    let gone = fleet
        .members
        .iter()
        .filter(|(_, member)| !member.is_present());
    let oldest = gone.min_by_key(|(_, member)| member.since);
    let Some(name) = oldest.map(|(name, _)| name.clone()) else {
        return;
    };
    fleet.members.remove(&name);
}

fn insert(fleet: &mut FleetState, now: Instant, row: &MemberRow) {
    // Nobody needs the row of an instance that was never known; relaying it would keep it forever.
    if row.state == MemberState::Gone {
        return;
    }
    let member = Member {
        row: row.clone(),
        since: now,
        heard_at: None,
        confirmed_at: None,
        relayed_count: 0,
        is_listed: false,
    };
    fleet.members.insert(row.id.name.clone(), member);
}

/// Raises the own counter above that of a row which says that this run is not alive.
fn refute(fleet: &mut FleetState, row: &MemberRow) {
    let is_this_run = row.id.incarnation == fleet.id.incarnation;
    let own = own_row(fleet);
    if is_this_run && is_before(&own, row) {
        fleet.counter = row.counter + 1;
    }
}

fn precedence(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Leaving => 1,
        MemberState::Suspected => 2,
        MemberState::Gone => 3,
    }
}
