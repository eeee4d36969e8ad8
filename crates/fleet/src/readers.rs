//! Selection of the instances that read the platform for their zone.

use std::{
    cmp::Reverse,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{Effect, MemberState};
use settings::Settings;
use xxhash_rust::xxh3::xxh3_64;

use crate::{FleetState, platform_reads};

/// Time within which a fallback read must start after its turn has come.
const FALLBACK_ATTEMPT_WINDOW: Duration = Duration::from_millis(500);

/// Returns whether this instance is one of its zone's readers.
///
/// The readers are the instances with the largest capacity, and among equals those with the
/// smallest hash of their name. Instances with the same view of the members select the same
/// readers, and the next in order takes over from one that leaves.
pub fn is_reader(fleet: &FleetState, readers_per_zone_count: u32) -> bool {
    if fleet.is_leaving {
        return false;
    }
    reader_rank(fleet) < readers_per_zone_count as usize
}

/// Returns the position of this instance, counted from 0, in the order in which its zone's readers
/// are selected.
fn reader_rank(fleet: &FleetState) -> usize {
    let own = reader_order(fleet.capacity_millicores, &fleet.id.name);
    let others = fleet
        .members
        .values()
        .filter(|member| member.row.state == MemberState::Alive && member.row.zone == fleet.zone);
    let before = others.filter(|member| {
        let row = &member.row;
        reader_order(row.capacity_millicores, &row.id.name) < own
    });
    before.count()
}

/// Returns the address of the other instance that is the first reader of the zone, if there is one.
pub fn zone_reader_address(fleet: &FleetState) -> Option<SocketAddr> {
    let members = fleet.members.values();
    let in_zone = members
        .filter(|member| member.row.state == MemberState::Alive && member.row.zone == fleet.zone);
    let reader = in_zone.min_by_key(|member| {
        let row = &member.row;
        reader_order(row.capacity_millicores, &row.id.name)
    });
    reader.map(|reader| reader.row.address)
}

/// Returns the sort key by which readers are selected.
fn reader_order(capacity_millicores: u32, name: &str) -> (Reverse<u32>, u64, &str) {
    (Reverse(capacity_millicores), xxh3_64(name.as_bytes()), name)
}

/// Starts a fallback read: an instance that is not a reader reads the configuration once its latest
/// confirmation, or the start of its join if that is later, is older than half of the freshness
/// limit.
///
/// The instances of a zone take turns; the turns per second equal the number of readers per zone.
/// The read rate of a zone is therefore constant, and the time until all have tried grows with the
/// number of its instances.
pub(crate) fn try_fallback_read(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    out: &mut Vec<Effect>,
) {
    let threshold = settings.fleet.freshness_limit / 2;
    let Some(since) = fleet.fresh_as_of.max(fleet.join_started_at) else {
        return;
    };
    let age = now.saturating_duration_since(since);
    if fleet.platform_reads.is_reader || fleet.is_leaving || age <= threshold {
        return;
    }
    let members = fleet.members.values();
    let in_zone = members.filter(|member| member.is_present() && member.row.zone == fleet.zone);
    let zone_instances_count = in_zone.count() + 1;
    let rate_per_s = f64::from(settings.fleet.readers_per_zone_count);
    let offset_s = reader_rank(fleet) as f64 / rate_per_s;
    let period_s = zone_instances_count as f64 / rate_per_s;
    let turn_index = |at: Duration| ((at.as_secs_f64() - offset_s) / period_s).floor();
    let overdue_for = age - threshold;
    let is_turn =
        turn_index(overdue_for) > turn_index(overdue_for.saturating_sub(settings.fleet.tick));
    if is_turn {
        fleet.platform_reads.fallback_until = Some(now + FALLBACK_ATTEMPT_WINDOW);
        platform_reads::start_due_reads(fleet, settings, now, out);
    }
}
