//! Rules for what the catalog may take back after the store was restored from a copy.
//!
//! The copy lacks the last writes that the store acknowledged. What it says about a target or a
//! zone may therefore be older than what this instance knows. The functions here decide what to do
//! with it, from a memory of what ended and the state of the item; they change no catalog.
//!
//! The version of the configuration needs no rule: a version that is not newer is never applied.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{Registration, StoreArea};

/// Time after the new list for which a zone stays evacuated although the copy does not say so;
/// operators publish an evacuation again within that time.
pub(crate) const EVACUATION_HOLD: Duration = Duration::from_secs(5);
/// Time after the new list for which a zone that was returned to service stays in service although
/// the copy says that it is evacuated. Shorter than [`EVACUATION_HOLD`], so that an evacuation that
/// holds takes effect within five seconds of the restore.
pub(crate) const RETURN_HOLD: Duration = Duration::from_secs(3);
/// Time for which ended processes and returned zones are remembered. A copy is some seconds old;
/// the rest is a margin for a restore that takes long.
pub(crate) const MEMORY_RETENTION: Duration = Duration::from_secs(600);
/// Limit of remembered processes, about 100 bytes each. The oldest are forgotten first.
const DEPARTED_MAX_COUNT: usize = 4_096;
/// Limit of remembered zones.
const RETURNED_MAX_COUNT: usize = 256;

/// What this instance remembers for the case that the store is restored.
#[derive(Clone, Debug, Default)]
pub struct RestoreMemory {
    /// Processes of targets that have left, by identifier and start time, and when they left.
    departed: HashMap<(Arc<str>, u64), Instant>,
    /// Zones that were returned to service, and when.
    returned_zones: HashMap<String, Instant>,
    /// Start times of the processes whose registration in the copy is not used as it stands, until
    /// it is written again; by identifier.
    held: HashMap<Arc<str>, u64>,
    /// Zones whose state in the copy differs from the one in force, until it is due.
    pending_zones: BTreeMap<String, PendingZone>,
}

/// State of a zone that takes effect later unless a change says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingZone {
    pub(crate) due_at: Instant,
    pub(crate) is_out: bool,
}

/// What the catalog knows about the identifier of a listed registration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownTarget<'a> {
    pub(crate) service: &'a str,
    pub(crate) address: SocketAddr,
    pub(crate) started_at_ms: u64,
    pub(crate) is_draining: bool,
    /// Whether the registration is missing because the target has left. One that lapsed during an
    /// outage of the store is not taken to have left.
    pub(crate) has_left: bool,
}

/// What to do with a listed registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetRuling {
    /// Apply it.
    Use,
    /// Apply it, but the target goes on draining.
    KeepDraining,
    /// Ignore it: it belongs to a process that has left, or is older than what is known.
    HoldBack,
}

/// Decides on a registration that a list contains.
///
/// `is_restoring` tells whether the list is the first one after a restore. A later list may still
/// contain what was held back. `address_taken_ms` is the start time of the latest other process
/// that is known at the address.
pub(crate) fn judge_target(
    memory: &RestoreMemory,
    target_id: &str,
    registration: &Registration,
    known: Option<&KnownTarget<'_>>,
    address_taken_ms: Option<u64>,
    is_restoring: bool,
) -> TargetRuling {
    let born_ms = registration.born_ms;
    let is_held = memory.held.get(target_id) == Some(&born_ms);
    if !is_restoring && !is_held {
        return TargetRuling::Use;
    }
    let Some(known) = known else {
        let has_left = has_departed(memory, target_id, born_ms)
            || address_taken_ms.is_some_and(|taken_ms| taken_ms > born_ms);
        return match has_left || is_held {
            true => TargetRuling::HoldBack,
            false => TargetRuling::Use,
        };
    };
    if born_ms != known.started_at_ms {
        let is_earlier = born_ms < known.started_at_ms || has_departed(memory, target_id, born_ms);
        return match is_earlier {
            true => TargetRuling::HoldBack,
            false => TargetRuling::Use,
        };
    }
    let is_same_place =
        known.address == registration.address && known.service == registration.service;
    if known.has_left || !is_same_place {
        return TargetRuling::HoldBack;
    }
    match known.is_draining && !registration.is_draining {
        true => TargetRuling::KeepDraining,
        false => TargetRuling::Use,
    }
}

/// Returns the state to which a zone changes later, if a list says that it is evacuated and it is
/// not; `None` if the evacuation takes effect at once.
///
/// An evacuation that this instance has never known is newer than its knowledge, and takes effect
/// at once; one that it has seen end was taken back.
pub(crate) fn judge_evacuation(
    memory: &RestoreMemory,
    now: Instant,
    zone: &str,
    is_restoring: bool,
) -> Option<PendingZone> {
    let pending = memory.pending_zones.get(zone).copied();
    if let Some(pending) = pending.filter(|pending| pending.is_out) {
        return Some(pending);
    }
    let returned_at = memory.returned_zones.get(zone)?;
    let is_recent = now.saturating_duration_since(*returned_at) < MEMORY_RETENTION;
    (is_restoring && is_recent).then(|| PendingZone {
        due_at: now + RETURN_HOLD,
        is_out: true,
    })
}

/// Returns the state to which an evacuated zone changes later, if a complete list does not contain
/// its evacuation; `None` if it returns to service at once.
pub(crate) fn judge_missing_evacuation(
    memory: &RestoreMemory,
    now: Instant,
    zone: &str,
    is_restoring: bool,
) -> Option<PendingZone> {
    if is_restoring {
        return Some(PendingZone {
            due_at: now + EVACUATION_HOLD,
            is_out: false,
        });
    }
    let pending = memory.pending_zones.get(zone).copied();
    pending.filter(|pending| !pending.is_out)
}

/// Records that a process of a target has left.
pub(crate) fn record_departure(
    memory: &mut RestoreMemory,
    now: Instant,
    target_id: &Arc<str>,
    born_ms: u64,
) {
    memory.departed.insert((target_id.clone(), born_ms), now);
    forget(&mut memory.departed, now, DEPARTED_MAX_COUNT);
}

/// Records that the registration of a process is in use: it has not left.
pub(crate) fn record_registration(memory: &mut RestoreMemory, target_id: &Arc<str>, born_ms: u64) {
    memory.departed.remove(&(target_id.clone(), born_ms));
}

/// Records that a registration is not used as it stands until it is written again.
pub(crate) fn record_held(memory: &mut RestoreMemory, target_id: &str, born_ms: u64) {
    memory.held.insert(target_id.into(), born_ms);
}

/// Records that a registration was written or removed.
pub(crate) fn record_target_write(memory: &mut RestoreMemory, target_id: &str) {
    memory.held.remove(target_id);
}

/// Records that an evacuation was written or removed, or is not in the store any more.
pub(crate) fn record_zone_write(
    memory: &mut RestoreMemory,
    now: Instant,
    zone: &str,
    is_out: bool,
) {
    memory.pending_zones.remove(zone);
    if is_out {
        memory.returned_zones.remove(zone);
        return;
    }
    memory.returned_zones.insert(zone.to_owned(), now);
    forget(&mut memory.returned_zones, now, RETURNED_MAX_COUNT);
}

/// Records the state to which a zone changes later.
pub(crate) fn record_pending_zone(memory: &mut RestoreMemory, zone: &str, pending: PendingZone) {
    memory.pending_zones.insert(zone.to_owned(), pending);
}

/// Forgets what was to be done with an area of the copy of an earlier restore; registrations that
/// were held back in it are judged anew.
pub(crate) fn begin_era(memory: &mut RestoreMemory, area: StoreArea) {
    match area {
        StoreArea::Operators => memory.pending_zones.clear(),
        StoreArea::Targets => memory.held.clear(),
    }
}

/// Forgets the pending evacuations that a complete list does not contain any more.
pub(crate) fn retain_listed_evacuations(
    memory: &mut RestoreMemory,
    is_listed: impl Fn(&str) -> bool,
) {
    memory
        .pending_zones
        .retain(|zone, pending| !pending.is_out || is_listed(zone));
}

/// Removes and returns the zones whose state is due.
pub(crate) fn take_due_zones(memory: &mut RestoreMemory, now: Instant) -> Vec<(String, bool)> {
    let is_due = |pending: &PendingZone| now >= pending.due_at;
    let zones = memory.pending_zones.iter();
    let due = zones.filter(|(_, pending)| is_due(pending));
    let due = due.map(|(zone, pending)| (zone.clone(), pending.is_out));
    let due = due.collect();
    memory.pending_zones.retain(|_, pending| !is_due(pending));
    due
}

fn has_departed(memory: &RestoreMemory, target_id: &str, born_ms: u64) -> bool {
    memory.departed.contains_key(&(target_id.into(), born_ms))
}

/// Removes the entries that are too old, and the oldest one if there are too many.
fn forget<K: Clone + Eq + std::hash::Hash>(
    entries: &mut HashMap<K, Instant>,
    now: Instant,
    max_count: usize,
) {
    if entries.len() <= max_count {
        return;
    }
    entries.retain(|_, at| now.saturating_duration_since(*at) < MEMORY_RETENTION);
    if entries.len() <= max_count {
        return;
    }
    let oldest = entries.iter().min_by_key(|(_, at)| **at);
    if let Some(key) = oldest.map(|(key, _)| key.clone()) {
        entries.remove(&key);
    }
}
