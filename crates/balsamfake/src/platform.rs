//! The fake platform: watches on the configuration, the list of instances, rate limiting and
//! simulated outages.

use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::{
    behaviour::Reachability,
    effect::{Effect, Reply, Timer},
    event::RequestKey,
    state::{Platform, State, Watch},
};

/// Answers a watch at once if a newer version is served; otherwise keeps it until one is, or until
/// its wait elapses.
pub fn handle_watch(
    platform: &mut Platform,
    now: Instant,
    watch: Watch,
    wait: Duration,
    out: &mut Vec<Effect>,
) {
    if !admit(platform, now, watch.request, &watch.reader, out) {
        return;
    }
    if served_version(platform) > watch.after_version {
        out.push(value_reply(platform, watch.request));
        return;
    }
    out.push(Effect::StartTimer {
        timer: Timer::Watch(watch.request),
        delay: wait,
    });
    platform.watches.push(watch);
}

/// Answers a watch whose wait has elapsed with the current version.
///
/// Does nothing if it has been answered. A reader that is cut off gets no reply, nor does any
/// reader while the platform is not up.
pub fn expire_watch(platform: &mut Platform, request: RequestKey, out: &mut Vec<Effect>) {
    let watches = platform.watches.iter();
    let Some(index) = watches.clone().position(|watch| watch.request == request) else {
        return;
    };
    let watch = platform.watches.swap_remove(index);
    if is_reachable(platform, &watch.reader) {
        out.push(value_reply(platform, request));
    }
}

/// Answers a read with the visible list of instances.
pub fn read_instances(
    platform: &mut Platform,
    now: Instant,
    request: RequestKey,
    reader: &str,
    out: &mut Vec<Effect>,
) {
    if !admit(platform, now, request, reader, out) {
        return;
    }
    out.push(Effect::Reply {
        request,
        reply: Reply::Value {
            version: platform.instances_version,
            body: platform.instances.clone(),
        },
    });
}

/// Publishes a configuration and answers the watches that it satisfies.
pub fn publish_note(platform: &mut Platform, body: &[u8], out: &mut Vec<Effect>) {
    platform.notes.push(Bytes::copy_from_slice(body));
    answer_watches(platform, out);
}

/// Publishes a list of instances, which becomes visible after the publication lag.
pub fn publish_instances(state: &mut State, body: &[u8], out: &mut Vec<Effect>) {
    let platform = &mut state.platform;
    platform
        .pending_instances
        .push_back(Bytes::copy_from_slice(body));
    let delay = platform.behaviour.instances_lag;
    if delay.is_zero() {
        activate_instances(platform);
        return;
    }
    let timer = Timer::InstancesLag;
    out.push(Effect::StartTimer { timer, delay });
}

/// Makes the oldest pending list of instances the visible one.
pub fn activate_instances(platform: &mut Platform) {
    let Some(list) = platform.pending_instances.pop_front() else {
        return;
    };
    platform.instances = list;
    platform.instances_version += 1;
}

/// Answers every watch that the served version satisfies.
pub fn answer_watches(platform: &mut Platform, out: &mut Vec<Effect>) {
    let waiting = std::mem::take(&mut platform.watches);
    for watch in waiting {
        let is_newer = served_version(platform) > watch.after_version;
        if is_newer && is_reachable(platform, &watch.reader) {
            out.push(value_reply(platform, watch.request));
        } else {
            platform.watches.push(watch);
        }
    }
}

/// Counts a read and returns whether it is served; refuses it otherwise.
///
/// A reader that is cut off, or a silent platform, gets no reply at all.
fn admit(
    platform: &mut Platform,
    now: Instant,
    request: RequestKey,
    reader: &str,
    out: &mut Vec<Effect>,
) -> bool {
    platform.reads_count += 1;
    *platform.readers.entry(reader.to_owned()).or_default() += 1;
    if !is_reachable(platform, reader) {
        if platform.behaviour.reachability == Reachability::Refusing {
            let reply = Reply::Unavailable;
            out.push(Effect::Reply { request, reply });
        }
        return false;
    }
    if take_token(platform, now) {
        return true;
    }
    platform.limited_count += 1;
    let reply = Reply::RateLimited;
    out.push(Effect::Reply { request, reply });
    false
}

/// Takes a token from the token bucket, which holds at most one second's worth of reads.
fn take_token(platform: &mut Platform, now: Instant) -> bool {
    let rate = f64::from(platform.behaviour.rate_max_per_s);
    let refilled = match platform.tokens_refilled_at {
        None => rate,
        Some(at) => now.saturating_duration_since(at).as_secs_f64() * rate,
    };
    platform.tokens = (platform.tokens + refilled).min(rate);
    platform.tokens_refilled_at = Some(now);
    if platform.tokens < 1.0 {
        return false;
    }
    platform.tokens -= 1.0;
    true
}

fn is_reachable(platform: &Platform, reader: &str) -> bool {
    let behaviour = &platform.behaviour;
    let is_cut_off = behaviour.cut_readers.iter().any(|cut| cut == reader);
    behaviour.reachability == Reachability::Up && !is_cut_off
}

/// Returns the served version: the newest one, or an older one while staleness is simulated.
pub fn served_version(platform: &Platform) -> u64 {
    let newest = platform.notes.len() as u64;
    match platform.behaviour.stale_version {
        0 => newest,
        stale => stale.min(newest),
    }
}

fn value_reply(platform: &Platform, request: RequestKey) -> Effect {
    let version = served_version(platform);
    let index = usize::try_from(version.saturating_sub(1)).unwrap_or(usize::MAX);
    let body = platform.notes.get(index).cloned().unwrap_or_default();
    Effect::Reply {
        request,
        reply: Reply::Value { version, body },
    }
}
