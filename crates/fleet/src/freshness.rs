//! Freshness: the time since the accepted configuration was last confirmed to be the newest one.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use settings::Settings;

use crate::{FleetState, FreshnessSource, JoinState, platform_reads};

/// Returns the age of the latest confirmation, or [`Duration::MAX`] if there is none.
pub fn freshness_age(fleet: &FleetState, now: Instant) -> Duration {
    let fresh_as_of = fleet.fresh_as_of;
    fresh_as_of.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
}

/// Returns the zones that may receive new work while the configuration is stale.
///
/// Returns `None` while the configuration is fresh. Otherwise the zones are this instance's own one
/// and each zone with a member that replied recently, which would have sent a newer revision.
pub fn zones_allowed_when_stale(
    fleet: &FleetState,
    settings: &settings::Fleet,
    now: Instant,
) -> Option<BTreeSet<String>> {
    if freshness_age(fleet, now) <= settings.freshness_limit {
        return None;
    }
    let is_recent = |at: Instant| now.saturating_duration_since(at) <= settings.freshness_limit;
    let members = fleet.members.values();
    let recent = members.filter(|member| member.confirmed_at.is_some_and(is_recent));
    let zones = recent.map(|member| member.row.zone.clone());
    Some(zones.chain([fleet.zone.clone()]).collect())
}

/// Invalidates what was learned before a pause of the process.
///
/// Freshness, probes and the timeouts of suspected members are reset. If the pause exceeded the
/// freshness limit, the instance must also join again before it is ready. `late_by` is the delay of
/// the tick that was due during the pause.
pub fn on_pause(fleet: &mut FleetState, settings: &Settings, now: Instant, late_by: Duration) {
    fleet.fresh_as_of = None;
    fleet.freshness_source = FreshnessSource::None;
    pending::clear(&mut fleet.probes);
    fleet.note_request = None;
    for member in fleet.members.values_mut() {
        member.confirmed_at = None;
        member.heard_at = None;
        if member.is_present() {
            member.since = now;
        }
    }
    platform_reads::discard_in_flight(fleet);
    if late_by > settings.fleet.freshness_limit {
        fleet.join = JoinState::Waiting;
        fleet.join_started_at = Some(now);
        fleet.platform_reads.has_note_read_ended = false;
    }
}

/// Records that a read of the platform confirmed the accepted configuration.
///
/// Nothing is confirmed if `is_current` is false: the read may have been answered before a pause,
/// or returned an older version than an earlier read.
pub(crate) fn record_platform_confirmation(fleet: &mut FleetState, now: Instant, is_current: bool) {
    if !is_current {
        return;
    }
    fleet.fresh_as_of = Some(now);
    fleet.freshness_source = FreshnessSource::OwnRead;
}

/// Records that another instance confirmed the accepted revision as of a time.
pub(crate) fn record_peer_confirmation(fleet: &mut FleetState, fresh_as_of: Instant) {
    if fleet.fresh_as_of.is_some_and(|known| known >= fresh_as_of) {
        return;
    }
    fleet.fresh_as_of = Some(fresh_as_of);
    fleet.freshness_source = FreshnessSource::Peer;
}
