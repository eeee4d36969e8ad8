//! Requests that crash the targets that execute them.
//!
//! A connection that is lost while a call executes is a strike against the call's fingerprint. One
//! crash is one strike, however many copies of the request were in flight: a loss counts only if
//! its call was sent when the last strike was known. A whole reply to the same request proves it
//! harmless and clears its strikes, so a popular request survives ordinary crashes. An entry with
//! as many strikes as the settings allow is quarantined until it expires.

use std::time::{Duration, Instant};

use model::QuarantineRow;
use serde::Serialize;

use crate::OnceState;

/// Fingerprints that are watched at the same time.
const SUSPECTS_MAX_COUNT: usize = 1024;

/// Two entries whose expiry differs by less stem from the same strike, relayed at different speed.
const SAME_STRIKE_TOLERANCE: Duration = Duration::from_secs(10);

/// A request during whose execution a target was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Suspect {
    /// Strikes; 0 after a whole reply has cleared the request.
    pub strikes_count: u32,
    /// When the last strike became known.
    #[serde(skip)]
    pub struck_at: Instant,
    /// When the entry is forgotten.
    #[serde(skip)]
    pub expires_at: Instant,
    /// Whether the entry has changed since it was last sent to other instances.
    pub is_news: bool,
}

/// Notes that a target was lost while it executed a call; returns the strikes of the fingerprint.
pub fn strike(
    once: &mut OnceState,
    settings: &settings::Once,
    now: Instant,
    fingerprint: u64,
    sent_at: Instant,
) -> u32 {
    forget_expired(once, now);
    let expires_at = now + settings.quarantine_duration;
    let Some(suspect) = once.suspects.get_mut(&fingerprint) else {
        insert(once, fingerprint, 1, now, expires_at);
        return 1;
    };
    let is_cleared = suspect.strikes_count == 0;
    if !is_cleared && sent_at < suspect.struck_at {
        return suspect.strikes_count;
    }
    suspect.strikes_count += 1;
    suspect.struck_at = now;
    suspect.expires_at = expires_at;
    suspect.is_news = true;
    suspect.strikes_count
}

/// Notes a whole reply to a call, which clears strikes below the limit.
///
/// The entry stays without strikes, so that older news from other instances does not restore them.
pub fn exonerate(once: &mut OnceState, settings: &settings::Once, fingerprint: u64) {
    let Some(suspect) = once.suspects.get_mut(&fingerprint) else {
        return;
    };
    let is_open = (1..settings.strikes_max_count).contains(&suspect.strikes_count);
    if is_open {
        suspect.strikes_count = 0;
        suspect.is_news = true;
    }
}

/// Tells whether a request must not run.
pub fn is_quarantined(
    once: &OnceState,
    settings: &settings::Once,
    now: Instant,
    fingerprint: u64,
) -> bool {
    once.suspects.get(&fingerprint).is_some_and(|suspect| {
        suspect.strikes_count >= settings.strikes_max_count && now < suspect.expires_at
    })
}

/// Returns the entries for other instances, those that changed last first.
pub fn quarantine_rows(once: &OnceState, now: Instant, max_count: usize) -> Vec<QuarantineRow> {
    let live = once
        .suspects
        .iter()
        .filter(|(_, suspect)| now < suspect.expires_at);
    let mut live: Vec<_> = live.collect();
    live.sort_by_key(|(_, suspect)| (!suspect.is_news, std::cmp::Reverse(suspect.expires_at)));
    live.truncate(max_count);
    let rows = live
        .into_iter()
        .filter_map(|(&fingerprint, _)| quarantine_row(once, now, fingerprint));
    rows.collect()
}

/// Returns the entry of one fingerprint for other instances.
pub fn quarantine_row(once: &OnceState, now: Instant, fingerprint: u64) -> Option<QuarantineRow> {
    let suspect = once.suspects.get(&fingerprint)?;
    Some(QuarantineRow {
        fingerprint,
        strikes_count: suspect.strikes_count,
        remaining: suspect.expires_at.saturating_duration_since(now),
    })
}

/// Notes that the entries have been sent to other instances.
pub fn quarantine_sent(once: &mut OnceState, rows: &[QuarantineRow]) {
    for row in rows {
        if let Some(suspect) = once.suspects.get_mut(&row.fingerprint) {
            suspect.is_news = false;
        }
    }
}

/// Takes in the entries of another instance.
pub fn merge_quarantine(
    once: &mut OnceState,
    settings: &settings::Once,
    now: Instant,
    rows: &[QuarantineRow],
) {
    forget_expired(once, now);
    for row in rows {
        let remaining = row.remaining.min(settings.quarantine_duration);
        let expires_at = now + remaining;
        let Some(known) = once.suspects.get_mut(&row.fingerprint) else {
            insert(once, row.fingerprint, row.strikes_count, now, expires_at);
            continue;
        };
        if is_newer(known, settings, row.strikes_count, expires_at) {
            known.strikes_count = row.strikes_count;
            known.struck_at = now;
            known.expires_at = expires_at;
            known.is_news = true;
        }
    }
}

/// Tells whether another instance's word about a fingerprint replaces the known one.
///
/// A quarantine outweighs everything; of two words about the same strike the one that clears it
/// wins; otherwise the later strike wins.
fn is_newer(
    known: &Suspect,
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
    if once.suspects.len() >= SUSPECTS_MAX_COUNT {
        let soonest = once
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.strikes_count, suspect.expires_at));
        let Some((&soonest, _)) = soonest else { return };
        once.suspects.remove(&soonest);
    }
    let suspect = Suspect {
        strikes_count,
        struck_at: now,
        expires_at,
        is_news: true,
    };
    once.suspects.insert(fingerprint, suspect);
}

fn forget_expired(once: &mut OnceState, now: Instant) {
    once.suspects.retain(|_, suspect| now < suspect.expires_at);
}
