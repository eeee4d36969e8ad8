//! Rate limits that targets name in their replies, and this instance's share of them.
//!
//! A limit holds for all instances together. Each instance divides it by the capacities of the
//! instances that it knows, and keeps a token bucket for its own share. What an instance hears from
//! a target it passes on to the others, so that all follow a change although only some of them
//! call the target.

use std::time::{Duration, Instant};

use model::{Effect, RateLimitUpdate, ServiceKey, TargetKey};
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Attempt, Gateway, health::Health, log_line::target_log_line};

/// Rate that is assumed for a target that names a lower one, so that the end of its limit is heard.
const RATE_MIN_PER_S: f64 = 0.25;
/// Unused requests that may be sent at once later, by all instances together: those of one second
/// and a constant.
const BURST_CONSTANT_COUNT: f64 = 3.0;
/// Share that is assumed while the number of instances is unknown.
const ASSUMED_SHARE_RATIO: f64 = 1.0 / 16.0;
/// Time for which a lifted limit is remembered, to pass it on.
const LIFTED_RETENTION: Duration = Duration::from_secs(10);
/// Longest time until a token that callers are told, before jitter.
const TOKEN_WAIT_MAX: Duration = Duration::from_secs(5);
/// Unchanged limits that one digest repeats.
const REPEATED_PER_DIGEST_MAX_COUNT: usize = 2;
/// Changed limits in one digest; bounds its size.
const CHANGED_PER_DIGEST_MAX_COUNT: usize = 4;

/// A rate limit that a target names, and this instance's token bucket for it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct RateLimit {
    /// Requests per second that the target takes from all instances together; `None` once it has
    /// replied without a limit.
    pub per_s: Option<f64>,
    /// When the target stated it, to this or to another instance.
    #[serde(skip)]
    pub heard_at: Instant,
    /// Requests per second that this instance may send.
    pub own_per_s: f64,
    /// Requests that this instance may send at once.
    pub burst_count: f64,
    /// Tokens at `refilled_at`; each permits one request.
    pub tokens_count: f64,
    /// When the tokens were last counted.
    #[serde(skip)]
    pub refilled_at: Instant,
    /// Whether the limit has changed since it was last sent to other instances.
    pub is_dirty: bool,
}

/// An instance that shares the limits of targets.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ShareHolder {
    /// Hash of its name.
    pub name_hash: u64,
    /// Its part of the capacity of all instances.
    pub ratio: f64,
}

/// Handles what a reply states about the target's rate limit; logs a change.
///
/// A reply without a limit lifts it, unless its attempt was sent before the limit was last stated.
pub(crate) fn on_report(
    gateway: &mut Gateway,
    now: Instant,
    attempt: &Attempt,
    stated_per_s: Option<f64>,
    out: &mut Vec<Effect>,
) {
    let health = gateway.health.get(attempt.target);
    let known = health.and_then(|health| health.rate_limit);
    if stated_per_s.is_none() && known.is_none_or(|known| attempt.sent_at < known.heard_at) {
        return;
    }
    set_limit(
        gateway,
        now,
        attempt.target,
        stated_per_s,
        now,
        "reply",
        out,
    );
}

/// Handles what other instances have heard from targets; the latest statement counts.
pub fn merge_rate_limits(
    gateway: &mut Gateway,
    now: Instant,
    from: &str,
    updates: &[RateLimitUpdate],
    out: &mut Vec<Effect>,
) {
    for update in updates {
        let Some(&target) = gateway.catalog.target_ids.get(&*update.target_id) else {
            continue;
        };
        let heard_at = now.checked_sub(update.heard_age).unwrap_or(now);
        let per_s = update.limit_per_1000_s.map(|limit| limit as f64 / 1000.0);
        let health = gateway.health.get(target);
        let is_newer = match health.and_then(|health| health.rate_limit) {
            Some(known) => heard_at > known.heard_at,
            None => per_s.is_some(),
        };
        if is_newer {
            set_limit(gateway, now, target, per_s, heard_at, from, out);
        }
    }
}

/// Returns the limits for a digest: those that have changed first, and some others in turn.
pub fn rate_limit_updates(gateway: &Gateway, now: Instant) -> Vec<RateLimitUpdate> {
    let limits = || {
        gateway.health.iter().filter_map(|(target, health)| {
            let limit = health.rate_limit?;
            Some((target, limit))
        })
    };
    let changed = limits().filter(|(_, limit)| limit.is_dirty);
    let unchanged = limits().filter(|(_, limit)| !limit.is_dirty && limit.per_s.is_some());
    let unchanged: Vec<_> = unchanged.collect();
    let start = gateway
        .digests_count
        .wrapping_mul(REPEATED_PER_DIGEST_MAX_COUNT);
    let repeated_count = unchanged.len().min(REPEATED_PER_DIGEST_MAX_COUNT);
    let repeated =
        (0..repeated_count).map(|offset| unchanged[start.wrapping_add(offset) % unchanged.len()]);
    let chosen = changed.take(CHANGED_PER_DIGEST_MAX_COUNT).chain(repeated);
    let updates = chosen.filter_map(|(target, limit)| {
        let target = gateway.catalog.targets.get(target)?;
        Some(RateLimitUpdate {
            target_id: target.id.to_string(),
            // Conversion from float to integer saturates.
            limit_per_1000_s: limit.per_s.map(|per_s| (per_s * 1000.0) as u64),
            heard_age: now.saturating_duration_since(limit.heard_at),
        })
    });
    updates.collect()
}

/// Marks limits as sent to other instances.
pub fn mark_rate_limits_sent(gateway: &mut Gateway, updates: &[RateLimitUpdate]) {
    gateway.digests_count = gateway.digests_count.wrapping_add(1);
    for update in updates {
        let target = gateway.catalog.target_ids.get(&*update.target_id);
        let health = target.and_then(|&target| gateway.health.get_mut(target));
        if let Some(limit) = health.and_then(|health| health.rate_limit.as_mut()) {
            limit.is_dirty = false;
        }
    }
}

/// Adapts the token buckets to the instances known now, and forgets lifted limits.
pub(crate) fn update_shares(gateway: &mut Gateway, now: Instant) {
    for (target, health) in &mut gateway.health {
        let Some(limit) = &mut health.rate_limit else {
            continue;
        };
        if limit.per_s.is_none() && now >= limit.heard_at + LIFTED_RETENTION {
            health.rate_limit = None;
            continue;
        }
        let id = gateway.catalog.targets.get(target);
        let id = id.map_or("", |target| &*target.id);
        refill(limit, now);
        apply_share(limit, id, &gateway.share_holders);
    }
}

/// Returns whether the target's rate limit permits this instance another request now.
pub(crate) fn has_token(health: &Health, now: Instant) -> bool {
    let Some(limit) = health.rate_limit.filter(|limit| limit.per_s.is_some()) else {
        return true;
    };
    tokens_count(&limit, now) >= 1.0
}

/// Uses up the token for a request that is sent to a target.
pub(crate) fn take_token(health: &mut Health, now: Instant) {
    if let Some(limit) = &mut health.rate_limit {
        refill(limit, now);
        limit.tokens_count = (limit.tokens_count - 1.0).max(0.0);
    }
}

/// Returns the time until a target of the service may get another request from this instance, if
/// only rate limits prevent it now.
pub(crate) fn token_wait(gateway: &Gateway, now: Instant, service: ServiceKey) -> Option<Duration> {
    let targets = &gateway.catalog.services.get(service)?.targets;
    let limits = targets.iter().filter_map(|&target| {
        let limit = gateway.health.get(target)?.rate_limit?;
        limit.per_s.map(|_| limit)
    });
    let waits = limits.map(|limit| {
        let missing_count = 1.0 - tokens_count(&limit, now);
        match limit.own_per_s > 0.0 {
            true => missing_count.max(0.0) / limit.own_per_s,
            false => f64::INFINITY,
        }
    });
    let wait_s = waits.reduce(f64::min)?;
    Some(Duration::from_secs_f64(
        wait_s.min(TOKEN_WAIT_MAX.as_secs_f64()),
    ))
}

/// Returns an instance's rate and burst for a target whose limit all `holders` share.
///
/// Instances whose share of the burst is at least one request divide the limit by their capacity.
/// The others cannot each keep a token without exceeding it together. Of these, as many as their
/// common share has tokens are selected by a hash of target and instance, the same everywhere, and
/// divide their common share equally; the rest send nothing.
pub(crate) fn own_share(
    per_s: f64,
    target_id: &str,
    own_hash: u64,
    holders: &[ShareHolder],
) -> (f64, f64) {
    let per_s = per_s.max(RATE_MIN_PER_S);
    let burst_count = per_s + BURST_CONSTANT_COUNT;
    let Some(own) = holders.iter().find(|holder| holder.name_hash == own_hash) else {
        return (per_s * ASSUMED_SHARE_RATIO, 1.0);
    };
    let is_small = |holder: &&ShareHolder| burst_count * holder.ratio < 1.0;
    if !is_small(&own) {
        return (per_s * own.ratio, burst_count * own.ratio);
    }
    let small_ratio: f64 = holders
        .iter()
        .filter(is_small)
        .map(|holder| holder.ratio)
        .sum();
    // Conversion from float to integer saturates.
    let selected_count = (burst_count * small_ratio) as usize;
    let order = |hash: u64| (xxh3_64_with_seed(target_id.as_bytes(), hash), hash);
    let small = holders.iter().filter(is_small);
    let rank = small
        .filter(|holder| order(holder.name_hash) < order(own_hash))
        .count();
    match rank < selected_count {
        true => (per_s * small_ratio / selected_count as f64, 1.0),
        false => (0.0, 0.0),
    }
}

fn set_limit(
    gateway: &mut Gateway,
    now: Instant,
    target: TargetKey,
    per_s: Option<f64>,
    heard_at: Instant,
    from: &str,
    out: &mut Vec<Effect>,
) {
    let id = gateway.catalog.targets.get(target);
    let id = id.map_or("", |target| &*target.id);
    let Some(health) = gateway.health.entry(target) else {
        return;
    };
    let health = health.or_default();
    let known_per_s = health.rate_limit.and_then(|limit| limit.per_s);
    let mut limit = health.rate_limit.unwrap_or(RateLimit {
        per_s: None,
        heard_at,
        own_per_s: 0.0,
        burst_count: 0.0,
        tokens_count: 0.0,
        refilled_at: now,
        is_dirty: false,
    });
    limit.heard_at = heard_at;
    let is_changed = known_per_s != per_s;
    if is_changed {
        refill(&mut limit, now);
        limit.per_s = per_s;
        limit.is_dirty = true;
        apply_share(&mut limit, id, &gateway.share_holders);
    }
    health.rate_limit = Some(limit);
    if is_changed {
        let text = |per_s: Option<f64>| per_s.map_or_else(|| "none".to_owned(), |v| v.to_string());
        let line = target_log_line(gateway, target, "target-rate-limit")
            .with("per_s", text(per_s).as_str())
            .with("before_per_s", text(known_per_s).as_str())
            .with("own_per_s", text(Some(limit.own_per_s)).as_str())
            .with("from", from);
        out.push(Effect::Log(line));
    }
}

fn apply_share(limit: &mut RateLimit, target_id: &str, holders: &ShareHolders) {
    let per_s = limit.per_s.unwrap_or_default();
    let (own_per_s, burst_count) = own_share(per_s, target_id, holders.own_hash, &holders.all);
    limit.own_per_s = own_per_s;
    limit.burst_count = burst_count;
    limit.tokens_count = limit.tokens_count.min(burst_count);
}

fn refill(limit: &mut RateLimit, now: Instant) {
    limit.tokens_count = tokens_count(limit, now);
    limit.refilled_at = now;
}

fn tokens_count(limit: &RateLimit, now: Instant) -> f64 {
    let elapsed = now.saturating_duration_since(limit.refilled_at);
    let refilled_count = limit.tokens_count + limit.own_per_s * elapsed.as_secs_f64();
    refilled_count.min(limit.burst_count)
}

/// The instances that share the limits of targets, as known to this one.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct ShareHolders {
    /// Hash of this instance's name.
    pub own_hash: u64,
    /// All of them, this one included; empty while their number is unknown.
    pub all: Vec<ShareHolder>,
}
