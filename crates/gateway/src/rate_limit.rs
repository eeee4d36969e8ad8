//! Rate limits that targets name in their replies.

use std::time::Instant;

use model::Effect;
use serde::Serialize;

use crate::{Attempt, Gateway, completion::target_log_line};

/// A rate limit that a target names.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct RateLimit {
    /// Requests per second that the target takes from all instances together.
    pub per_s: f64,
    /// When the target last stated it.
    #[serde(skip)]
    pub heard_at: Instant,
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
    let Some(health) = gateway.health.get_mut(attempt.target) else {
        return;
    };
    let known = health.rate_limit;
    if stated_per_s.is_none() && known.is_none_or(|known| attempt.sent_at < known.heard_at) {
        return;
    }
    health.rate_limit = stated_per_s.map(|per_s| RateLimit {
        per_s,
        heard_at: now,
    });
    if known.map(|known| known.per_s) == stated_per_s {
        return;
    }
    let text = |per_s: Option<f64>| per_s.map_or_else(|| "none".to_owned(), |v| v.to_string());
    let line = target_log_line(gateway, attempt.target, "target-rate-limit")
        .with("per_s", text(stated_per_s).as_str())
        .with(
            "before_per_s",
            text(known.map(|known| known.per_s)).as_str(),
        );
    out.push(Effect::Log(line));
}
