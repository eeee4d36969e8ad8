//! Quarantine of requests that crash the targets that execute them.
//!
//! A target that ends while it executes a request is a strike against the request's fingerprint.
//! Every instance records the strikes that it observes; the strikes of all instances are merged as
//! a set, so neither the order nor the repetition of messages matters.
//!
//! Strikes count one after another: two of them count as two only if the later call was sent after
//! the earlier target had ended. One crash is thus one strike, however many copies of the request
//! were in flight and however many instances observed it.
//!
//! A complete reply shows that a target of the service can execute the request and clears the
//! strikes of that service, so that a frequent request is not quarantined for unrelated crashes.
//! For a while after it, a loss at that service is no strike.
//!
//! A request whose strikes reach the limit in the settings is refused. Another instance may know of
//! a reply that clears them, so the quarantine is confirmed only after the time that such news
//! takes; from then on it lasts until the entry expires.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use model::{QuarantineUpdate, StrikeUpdate};
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::{OnceState, Owner};

/// Upper bound of the entries; beyond it the one with the fewest strikes is evicted, and among
/// those the one that expires first.
const ENTRIES_MAX_COUNT: usize = 1024;
/// Upper bound of the strikes in an entry, as a multiple of the limit at which it is quarantined;
/// the surplus holds cleared strikes and strikes that overlap others.
const STRIKES_PER_LIMIT_COUNT: usize = 3;
/// Difference of expiry times up to which an update is not news: each relay of an entry delays its
/// expiry by the digest's transit time.
const EXPIRY_TOLERANCE: Duration = Duration::from_secs(10);
/// Time at the limit after which a quarantine is confirmed: longer than the news of a clearance
/// takes to reach every instance.
const CONFIRMATION_DELAY: Duration = Duration::from_secs(1);
/// Time after a complete reply for which a loss at the same service is no strike.
const EXECUTION_VALIDITY: Duration = Duration::from_secs(10);
/// Number of recent executions that are remembered; later ones replace them by hash.
const EXECUTIONS_COUNT: usize = 4096;
/// Number of strikes from which on an entry is sent again and again, so that instances that were
/// restarted or cut off learn it.
const REPEATED_STRIKES_MIN_COUNT: u32 = 2;

/// Strikes against one fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct QuarantineEntry {
    /// Known strikes, including cleared ones, by the time at which the target ended.
    pub strikes: Vec<Strike>,
    /// Number of strikes that count: the longest sequence of strikes that are not cleared and of
    /// which each call was sent after the target of the previous one had ended.
    pub strikes_count: u32,
    /// Since when the strikes that count have been at the limit.
    #[serde(skip)]
    pub limit_reached_at: Option<Instant>,
    /// Whether the quarantine is confirmed; never reset.
    pub is_quarantined: bool,
    /// When the entry is removed.
    #[serde(skip)]
    pub expires_at: Instant,
    /// Whether the entry has changed since it was last sent to other instances.
    #[serde(rename = "is_news")]
    pub is_dirty: bool,
    /// Whether the entry has been sent to other instances, or received from them.
    pub is_shared: bool,
}

/// A target that ended while it executed the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Strike {
    /// Unique number, assigned by the instance that observed it.
    pub id: u64,
    /// Hash of the target's service.
    pub service: u64,
    /// When the call was sent to the target.
    #[serde(skip)]
    pub sent_at: Instant,
    /// By when the target had ended.
    #[serde(skip)]
    pub lost_at: Instant,
    /// Whether the service has executed the request since.
    pub is_cleared: bool,
}

/// A strike to be recorded.
#[derive(Clone, Copy, Debug)]
pub struct ObservedStrike<'a> {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Service of the target.
    pub service: &'a str,
    /// When the call was sent to the target.
    pub sent_at: Instant,
    /// By when the target had ended.
    pub lost_at: Instant,
}

/// Remembers that a target of the service has just executed a request.
pub fn record_execution(once: &mut OnceState, now: Instant, fingerprint: u64, service: &str) {
    if once.executions.is_empty() {
        once.executions = vec![None; EXECUTIONS_COUNT];
    }
    let key = execution_key(fingerprint, service_hash(service));
    once.executions[execution_index(key)] = Some((key, now));
}

/// Records a strike and returns the number of strikes that count against its fingerprint; `None` if
/// it is no strike, because the service has recently executed the request.
pub fn add_strike(
    once: &mut OnceState,
    settings: &settings::Once,
    now: Instant,
    observed: &ObservedStrike<'_>,
) -> Option<u32> {
    remove_expired(once, now);
    let service = service_hash(observed.service);
    if is_recently_executed(once, observed.fingerprint, service, observed.sent_at) {
        return None;
    }
    once.observed_strikes_count += 1;
    let strike = Strike {
        id: strike_id(&once.owner, once.observed_strikes_count),
        service,
        sent_at: observed.sent_at,
        lost_at: observed.lost_at,
        is_cleared: false,
    };
    let expires_at = now + settings.quarantine_duration;
    let entry = entry_mut(once, observed.fingerprint, expires_at);
    insert_strike(entry, settings, strike);
    entry.expires_at = expires_at;
    entry.is_dirty = true;
    recount(entry, settings, now);
    Some(entry.strikes_count)
}

/// Clears the strikes of a request at a service that has replied to it; returns whether there were
/// any.
///
/// Cleared strikes stay in the entry, so that an older update does not restore them. A quarantine
/// is not lifted.
pub fn clear_strikes(
    once: &mut OnceState,
    settings: &settings::Once,
    now: Instant,
    fingerprint: u64,
    service: &str,
) -> bool {
    let Some(entry) = once.quarantine_entries.get_mut(&fingerprint) else {
        return false;
    };
    let service = service_hash(service);
    let strikes = entry.strikes.iter_mut();
    let strikes = strikes.filter(|strike| strike.service == service && !strike.is_cleared);
    let cleared_count = strikes.map(|strike| strike.is_cleared = true).count();
    if cleared_count == 0 {
        return false;
    }
    entry.is_dirty = true;
    recount(entry, settings, now);
    let is_of_use = entry.is_quarantined || entry.strikes.iter().any(|strike| !strike.is_cleared);
    if !is_of_use && !entry.is_shared {
        once.quarantine_entries.remove(&fingerprint);
    }
    true
}

/// Returns whether a request must be refused because its strikes have reached the limit.
pub fn is_quarantined(once: &OnceState, now: Instant, fingerprint: u64) -> bool {
    once.quarantine_entries
        .get(&fingerprint)
        .is_some_and(|entry| is_at_limit(entry) && now < entry.expires_at)
}

/// Confirms the quarantine of the requests that have been at the limit for long enough.
pub fn confirm_quarantines(once: &mut OnceState, now: Instant) {
    for entry in once.quarantine_entries.values_mut() {
        let is_due = |at: Instant| now >= at + CONFIRMATION_DELAY;
        if !entry.is_quarantined && entry.limit_reached_at.is_some_and(is_due) {
            entry.is_quarantined = true;
            entry.is_dirty = true;
        }
    }
}

/// Returns the number of strikes that count against a request.
pub fn strikes_count(once: &OnceState, now: Instant, fingerprint: u64) -> u32 {
    let entry = once.quarantine_entries.get(&fingerprint);
    let entry = entry.filter(|entry| now < entry.expires_at);
    entry.map_or(0, |entry| entry.strikes_count)
}

/// Returns the number of services at which strikes against a request are not cleared, whether or
/// not the strikes overlap.
pub fn struck_services_count(once: &OnceState, now: Instant, fingerprint: u64) -> usize {
    let entry = once.quarantine_entries.get(&fingerprint);
    let Some(entry) = entry.filter(|entry| now < entry.expires_at) else {
        return 0;
    };
    let strikes = entry.strikes.iter().filter(|strike| !strike.is_cleared);
    let services: HashSet<u64> = strikes.map(|strike| strike.service).collect();
    services.len()
}

/// Returns the updates for a digest: up to `changed_max_count` entries that have changed, most
/// strikes and latest expiry first, and up to `repeated_max_count` others in turn.
pub fn quarantine_updates(
    once: &OnceState,
    now: Instant,
    changed_max_count: usize,
    repeated_max_count: usize,
) -> Vec<QuarantineUpdate> {
    let unexpired = || {
        let entries = once.quarantine_entries.iter();
        entries.filter(move |(_, entry)| now < entry.expires_at)
    };
    let changed = unexpired().filter(|(_, entry)| entry.is_dirty);
    let mut changed: Vec<_> = changed.collect();
    changed.sort_by_key(|(_, entry)| std::cmp::Reverse((rank(entry), entry.expires_at)));
    changed.truncate(changed_max_count);
    let repeated = unexpired()
        .filter(|(_, entry)| !entry.is_dirty && rank(entry) >= REPEATED_STRIKES_MIN_COUNT);
    let mut repeated: Vec<_> = repeated.collect();
    let last_repeated = once.last_repeated_fingerprint;
    repeated.sort_by_key(|(fingerprint, _)| (**fingerprint <= last_repeated, **fingerprint));
    repeated.truncate(repeated_max_count);
    let chosen = changed.into_iter().chain(repeated);
    let updates = chosen.filter_map(|(&fingerprint, _)| quarantine_update(once, now, fingerprint));
    updates.collect()
}

/// Returns the entry of one fingerprint in the form that is sent to other instances.
pub fn quarantine_update(
    once: &OnceState,
    now: Instant,
    fingerprint: u64,
) -> Option<QuarantineUpdate> {
    let entry = once.quarantine_entries.get(&fingerprint)?;
    // The receiver of a quarantine does not count.
    let strikes = entry.strikes.iter().filter(|_| !entry.is_quarantined);
    let strikes = strikes.map(|strike| StrikeUpdate {
        id: strike.id,
        service: strike.service,
        sent_age: now.saturating_duration_since(strike.sent_at),
        lost_age: now.saturating_duration_since(strike.lost_at),
        is_cleared: strike.is_cleared,
    });
    Some(QuarantineUpdate {
        fingerprint,
        strikes_count: entry.strikes_count,
        is_quarantined: entry.is_quarantined,
        remaining: entry.expires_at.saturating_duration_since(now),
        strikes: strikes.collect(),
    })
}

/// Marks an entry as known to other instances, though not yet to all: it is still sent in digests.
pub fn mark_quarantine_announced(once: &mut OnceState, fingerprint: u64) {
    if let Some(entry) = once.quarantine_entries.get_mut(&fingerprint) {
        entry.is_shared = true;
    }
}

/// Marks entries as sent to other instances.
pub fn mark_quarantine_sent(once: &mut OnceState, updates: &[QuarantineUpdate]) {
    for update in updates {
        let Some(entry) = once.quarantine_entries.get_mut(&update.fingerprint) else {
            continue;
        };
        if !std::mem::replace(&mut entry.is_dirty, false) {
            once.last_repeated_fingerprint = update.fingerprint;
        }
        entry.is_shared = true;
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
        // An earlier version states only the count.
        let is_quarantined = update.is_quarantined
            || (update.strikes.is_empty() && update.strikes_count >= settings.strikes_max_count);
        if update.strikes.is_empty() && !is_quarantined {
            continue;
        }
        let strikes: Vec<Strike> = update
            .strikes
            .iter()
            .map(|received| received_strike(once, now, update.fingerprint, received))
            .collect();
        let remaining = update.remaining.min(settings.quarantine_duration);
        let expires_at = now + remaining;
        let entry = entry_mut(once, update.fingerprint, expires_at);
        entry.is_shared = true;
        let was_quarantined = entry.is_quarantined;
        let mut is_changed = false;
        for strike in strikes {
            is_changed |= merge_strike(entry, settings, strike);
        }
        entry.is_quarantined |= is_quarantined;
        recount(entry, settings, now);
        is_changed |= was_quarantined != entry.is_quarantined;
        is_changed |= expires_at > entry.expires_at + EXPIRY_TOLERANCE;
        entry.expires_at = entry.expires_at.max(expires_at);
        entry.is_dirty |= is_changed;
    }
}

/// Merges one strike; returns whether it changed the entry.
///
/// Of two times of the same strike the earlier one is kept: messages in transit make strikes appear
/// later than they were, and by different times, which could let strikes overlap that did not.
fn merge_strike(
    entry: &mut QuarantineEntry,
    settings: &settings::Once,
    mut strike: Strike,
) -> bool {
    let known = entry.strikes.iter().position(|known| known.id == strike.id);
    let Some(index) = known else {
        return insert_strike(entry, settings, strike);
    };
    let known = entry.strikes.remove(index);
    strike.sent_at = strike.sent_at.min(known.sent_at);
    strike.lost_at = strike.lost_at.min(known.lost_at);
    strike.is_cleared |= known.is_cleared;
    insert_strike(entry, settings, strike);
    strike.is_cleared != known.is_cleared
}

/// Inserts a strike in its order; returns whether it was kept.
fn insert_strike(entry: &mut QuarantineEntry, settings: &settings::Once, strike: Strike) -> bool {
    let index = entry.strikes.partition_point(|known| {
        (known.lost_at, known.sent_at) <= (strike.lost_at, strike.sent_at)
    });
    entry.strikes.insert(index, strike);
    let strikes_max_count = settings.strikes_max_count as usize * STRIKES_PER_LIMIT_COUNT;
    if entry.strikes.len() <= strikes_max_count {
        return true;
    }
    let dropped = superfluous_strike_index(&entry.strikes);
    entry.strikes.remove(dropped).id != strike.id
}

/// Returns the index of the strike to drop from a full entry: a cleared one, or else the last one
/// that overlaps an earlier one.
fn superfluous_strike_index(strikes: &[Strike]) -> usize {
    if let Some(index) = strikes.iter().position(|strike| strike.is_cleared) {
        return index;
    }
    let pairs = strikes.windows(2);
    let overlapping = pairs
        .enumerate()
        .rfind(|(_, pair)| pair[1].sent_at < pair[0].lost_at);
    overlapping.map_or(strikes.len() - 1, |(index, _)| index + 1)
}

/// Updates the number of strikes that count, and since when they have been at the limit.
fn recount(entry: &mut QuarantineEntry, settings: &settings::Once, now: Instant) {
    let mut count = 0;
    let mut last_lost_at: Option<Instant> = None;
    // Taking the earliest end first yields the longest sequence of disjoint intervals.
    for strike in entry.strikes.iter().filter(|strike| !strike.is_cleared) {
        if last_lost_at.is_none_or(|at| strike.sent_at >= at) {
            last_lost_at = Some(strike.lost_at);
            count += 1;
        }
    }
    entry.strikes_count = count;
    entry.limit_reached_at = match count >= settings.strikes_max_count {
        true => entry.limit_reached_at.or(Some(now)),
        false => None,
    };
}

fn is_at_limit(entry: &QuarantineEntry) -> bool {
    entry.is_quarantined || entry.limit_reached_at.is_some()
}

/// Returns a received strike; it is cleared if this instance knows of a recent execution.
fn received_strike(
    once: &OnceState,
    now: Instant,
    fingerprint: u64,
    received: &StrikeUpdate,
) -> Strike {
    let at = |age: Duration| now.checked_sub(age).unwrap_or(now);
    let sent_at = at(received.sent_age);
    let is_executed = is_recently_executed(once, fingerprint, received.service, sent_at);
    Strike {
        id: received.id,
        service: received.service,
        sent_at,
        lost_at: at(received.lost_age),
        is_cleared: received.is_cleared || is_executed,
    }
}

/// Returns whether the service has executed the request since a short time before `sent_at`.
fn is_recently_executed(
    once: &OnceState,
    fingerprint: u64,
    service: u64,
    sent_at: Instant,
) -> bool {
    let key = execution_key(fingerprint, service);
    let execution = once.executions.get(execution_index(key)).copied().flatten();
    execution.is_some_and(|(known, at)| known == key && sent_at < at + EXECUTION_VALIDITY)
}

fn execution_key(fingerprint: u64, service: u64) -> u64 {
    fingerprint ^ service.rotate_left(32)
}

fn execution_index(key: u64) -> usize {
    // The remainder is less than the number of slots.
    (key % EXECUTIONS_COUNT as u64) as usize
}

/// Returns the number of strikes by which entries are ordered; a quarantined entry comes first.
fn rank(entry: &QuarantineEntry) -> u32 {
    match is_at_limit(entry) {
        true => u32::MAX,
        false => entry.strikes_count,
    }
}

/// Returns the entry of a fingerprint; a new one if there is none, in place of the least important
/// one if the table is full.
fn entry_mut(once: &mut OnceState, fingerprint: u64, expires_at: Instant) -> &mut QuarantineEntry {
    let entries = &mut once.quarantine_entries;
    if !entries.contains_key(&fingerprint) && entries.len() >= ENTRIES_MAX_COUNT {
        let victim = entries
            .iter()
            .min_by_key(|(_, entry)| (rank(entry), entry.expires_at));
        if let Some((&victim, _)) = victim {
            entries.remove(&victim);
        }
    }
    entries
        .entry(fingerprint)
        .or_insert_with(|| QuarantineEntry {
            strikes: Vec::new(),
            strikes_count: 0,
            limit_reached_at: None,
            is_quarantined: false,
            expires_at,
            is_dirty: false,
            is_shared: false,
        })
}

fn strike_id(owner: &Owner, number: u64) -> u64 {
    xxh3_64(format!("{}/{}/{number}", owner.address, owner.incarnation).as_bytes())
}

fn service_hash(service: &str) -> u64 {
    xxh3_64(service.as_bytes())
}

fn remove_expired(once: &mut OnceState, now: Instant) {
    once.quarantine_entries
        .retain(|_, entry| now < entry.expires_at);
}
