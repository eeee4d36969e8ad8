//! Quarantine of requests that crash the targets that execute them.
//!
//! A connection that is lost while a call executes is a strike against the call's fingerprint. One
//! crash counts as one strike, however many copies of the request were in flight: a loss counts
//! only if its call was sent after the previous strike became known. A complete reply to the same
//! request shows that a target can execute it and clears its strikes, so that a frequent request is
//! not quarantined for unrelated crashes. A request whose strikes reach the limit in the settings
//! is quarantined until its entry expires.

use std::time::{Duration, Instant};

use model::QuarantineUpdate;
use serde::Serialize;

use crate::OnceState;

/// Upper bound of the entries; beyond it the one with the fewest strikes is evicted, and among
/// those the one that expires first.
const ENTRIES_MAX_COUNT: usize = 1024;

/// Two entries of one fingerprint whose expiry times differ by at most this much are taken to
/// describe the same strike: each relay of an entry delays its expiry by the digest's transit time.
const SAME_STRIKE_TOLERANCE: Duration = Duration::from_secs(10);

/// Strikes against one fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct QuarantineEntry {
    /// Strikes since the last clearance; 0 after a complete reply has cleared the request.
    pub strikes_count: u32,
    /// When the last strike became known to this instance.
    #[serde(skip)]
    pub last_strike_at: Instant,
    /// When the entry is removed.
    #[serde(skip)]
    pub expires_at: Instant,
    /// Whether the entry has changed since it was last sent to other instances.
    #[serde(rename = "is_news")]
    pub is_dirty: bool,
}

/// Adds a strike for a connection that was lost while a target executed a call, unless the call was
/// sent before the last strike that has not been cleared. Returns the fingerprint's strikes.
pub fn add_strike(
    once: &mut OnceState,
    settings: &settings::Once,
    now: Instant,
    fingerprint: u64,
    sent_at: Instant,
) -> u32 {
    remove_expired(once, now);
    let expires_at = now + settings.quarantine_duration;
    let Some(entry) = once.quarantine_entries.get_mut(&fingerprint) else {
        insert(once, fingerprint, 1, now, expires_at);
        return 1;
    };
    let is_cleared = entry.strikes_count == 0;
    if !is_cleared && sent_at < entry.last_strike_at {
        return entry.strikes_count;
    }
    entry.strikes_count += 1;
    entry.last_strike_at = now;
    entry.expires_at = expires_at;
    entry.is_dirty = true;
    entry.strikes_count
}

/// Clears the strikes of a request that a target has replied to, unless it is quarantined; returns
/// whether there were any.
///
/// The entry stays with 0 strikes as a tombstone, so that an older update from another instance
/// does not restore them.
pub fn clear_strikes(once: &mut OnceState, settings: &settings::Once, fingerprint: u64) -> bool {
    let Some(entry) = once.quarantine_entries.get_mut(&fingerprint) else {
        return false;
    };
    let has_clearable_strikes = (1..settings.strikes_max_count).contains(&entry.strikes_count);
    if has_clearable_strikes {
        entry.strikes_count = 0;
        entry.is_dirty = true;
    }
    has_clearable_strikes
}

/// Returns whether a request must be refused because its strikes have reached the limit.
pub fn is_quarantined(
    once: &OnceState,
    settings: &settings::Once,
    now: Instant,
    fingerprint: u64,
) -> bool {
    once.quarantine_entries
        .get(&fingerprint)
        .is_some_and(|entry| {
            entry.strikes_count >= settings.strikes_max_count && now < entry.expires_at
        })
}

/// Returns up to `max_count` updates for a digest: unsent changes first, then by latest expiry.
pub fn quarantine_updates(
    once: &OnceState,
    now: Instant,
    max_count: usize,
) -> Vec<QuarantineUpdate> {
    let unexpired = once
        .quarantine_entries
        .iter()
        .filter(|(_, entry)| now < entry.expires_at);
    let mut unexpired: Vec<_> = unexpired.collect();
    unexpired.sort_by_key(|(_, entry)| (!entry.is_dirty, std::cmp::Reverse(entry.expires_at)));
    unexpired.truncate(max_count);
    let updates = unexpired
        .into_iter()
        .filter_map(|(&fingerprint, _)| quarantine_update(once, now, fingerprint));
    updates.collect()
}

/// Returns the entry of one fingerprint in the form that is sent to other instances.
pub fn quarantine_update(
    once: &OnceState,
    now: Instant,
    fingerprint: u64,
) -> Option<QuarantineUpdate> {
    let entry = once.quarantine_entries.get(&fingerprint)?;
    Some(QuarantineUpdate {
        fingerprint,
        strikes_count: entry.strikes_count,
        remaining: entry.expires_at.saturating_duration_since(now),
    })
}

/// Marks entries as sent to other instances.
pub fn mark_quarantine_sent(once: &mut OnceState, updates: &[QuarantineUpdate]) {
    for update in updates {
        if let Some(entry) = once.quarantine_entries.get_mut(&update.fingerprint) {
            entry.is_dirty = false;
        }
    }
}

/// Merges entries received from another instance.
pub fn merge_quarantine(
    once: &mut OnceState,
    settings: &settings::Once,
    now: Instant,
    updates: &[QuarantineUpdate],
) {
    remove_expired(once, now);
    for update in updates {
        let remaining = update.remaining.min(settings.quarantine_duration);
        let expires_at = now + remaining;
        let Some(known) = once.quarantine_entries.get_mut(&update.fingerprint) else {
            insert(
                once,
                update.fingerprint,
                update.strikes_count,
                now,
                expires_at,
            );
            continue;
        };
        if supersedes(known, settings, update.strikes_count, expires_at) {
            known.strikes_count = update.strikes_count;
            known.last_strike_at = now;
            known.expires_at = expires_at;
            known.is_dirty = true;
        }
    }
}

/// Returns whether a received entry replaces the known entry of the same fingerprint.
///
/// An entry whose strikes have reached the limit replaces one whose strikes have not, and never the
/// reverse. Otherwise the entry with the later strike wins; of two entries about the same strike
/// the cleared one wins.
fn supersedes(
    known: &QuarantineEntry,
    settings: &settings::Once,
    strikes_count: u32,
    expires_at: Instant,
) -> bool {
    let limit = settings.strikes_max_count;
    let (was_quarantined, is_quarantined) = (known.strikes_count >= limit, strikes_count >= limit);
    if was_quarantined != is_quarantined {
        return is_quarantined;
    }
    if expires_at > known.expires_at + SAME_STRIKE_TOLERANCE {
        return true;
    }
    let is_same_strike = expires_at + SAME_STRIKE_TOLERANCE >= known.expires_at;
    is_same_strike && strikes_count == 0 && known.strikes_count > 0
}

fn insert(
    once: &mut OnceState,
    fingerprint: u64,
    strikes_count: u32,
    now: Instant,
    expires_at: Instant,
) {
    if once.quarantine_entries.len() >= ENTRIES_MAX_COUNT {
        let victim = once
            .quarantine_entries
            .iter()
            .min_by_key(|(_, entry)| (entry.strikes_count, entry.expires_at));
        let Some((&victim, _)) = victim else { return };
        once.quarantine_entries.remove(&victim);
    }
    let entry = QuarantineEntry {
        strikes_count,
        last_strike_at: now,
        expires_at,
        is_dirty: true,
    };
    once.quarantine_entries.insert(fingerprint, entry);
}

fn remove_expired(once: &mut OnceState, now: Instant) {
    once.quarantine_entries
        .retain(|_, entry| now < entry.expires_at);
}
