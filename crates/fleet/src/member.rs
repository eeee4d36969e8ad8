//! Member rows: precedence and merging.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{MemberRow, MemberState};

use crate::{FleetState, Member};

/// Retention of the row of a gone member; longer than any message can be delayed, so that an old
/// message cannot bring the member back.
pub(crate) const GONE_RETENTION: Duration = Duration::from_secs(2 * 3600);
/// Limit of retained rows of gone members.
pub(crate) const GONE_MAX_COUNT: usize = 2000;

/// Returns the row that this instance publishes about itself.
pub fn own_row(fleet: &FleetState) -> MemberRow {
    let state = if fleet.is_leaving {
        MemberState::Leaving
    } else {
        MemberState::Alive
    };
    MemberRow {
        understands_permits: true,
        id: fleet.id.clone(),
        address: fleet.address,
        zone: fleet.zone.clone(),
        capacity_millicores: fleet.capacity_millicores,
        counter: fleet.counter,
        state,
    }
}

/// Returns whether a member, present or gone, has this peer address.
pub fn knows_address(fleet: &FleetState, address: SocketAddr) -> bool {
    let mut members = fleet.members.values();
    members.any(|member| member.row.address == address)
}

/// Returns whether a row is older than another row about the same instance.
pub fn is_superseded_by(row: &MemberRow, other: &MemberRow) -> bool {
    let precedence_key = |row: &MemberRow| (row.id.incarnation, row.counter, precedence(row.state));
    precedence_key(row) < precedence_key(other)
}

/// Merges a row that another instance relayed or sent about itself; older rows are ignored.
pub fn merge_row(fleet: &mut FleetState, now: Instant, row: &MemberRow) {
    if row.id.name == fleet.id.name {
        refute(fleet, row);
        return;
    }
    let Some(member) = fleet.members.get_mut(&row.id.name) else {
        insert(fleet, now, row);
        return;
    };
    if !is_superseded_by(&member.row, row) {
        return;
    }
    if member.row.id.incarnation != row.id.incarnation {
        member.heard_at = None;
        member.confirmed_at = None;
        member.has_left = false;
    }
    member.has_left |= row.state == MemberState::Leaving;
    if member.row.state != row.state {
        member.since = now;
    }
    member.row = row.clone();
    member.relayed_count = 0;
}

/// Sets a member's state from this instance's own observation.
pub(crate) fn set_state(member: &mut Member, now: Instant, state: MemberState) {
    member.row.state = state;
    member.since = now;
    member.relayed_count = 0;
}

/// Removes members whose retention as gone is over, and at most one member per call over the limit.
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
    // A gone instance that was never known here is of no use; inserting the row would relay it
    // again, and the fleet would keep it forever.
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
        has_left: row.state == MemberState::Leaving,
    };
    fleet.members.insert(row.id.name.clone(), member);
}

/// Refutes a newer row about this incarnation by raising this instance's counter above the row's.
///
/// A later incarnation at this address is that of an earlier process, after which the clock was set
/// back; the others would ignore this one until they restart, so it takes a later one still.
fn refute(fleet: &mut FleetState, row: &MemberRow) {
    if row.id.incarnation > fleet.id.incarnation && row.address == fleet.address {
        fleet.id.incarnation = row.id.incarnation.saturating_add(1);
        return;
    }
    let is_own_incarnation = row.id.incarnation == fleet.id.incarnation;
    let own = own_row(fleet);
    if is_own_incarnation && is_superseded_by(&own, row) {
        fleet.counter = row.counter.saturating_add(1);
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
