//! Durations from outside: from the store, targets, callers, other instances and settings.

use std::time::Duration;

/// Longest duration that is taken from outside. Sums and small multiples of such durations are far
/// within the range of `Duration`, `Instant` and the timers.
pub const SPAN_MAX: Duration = Duration::from_secs(30 * 24 * 3600);

/// Returns a duration in milliseconds; `None` if the number is negative, not a number, or beyond
/// [`SPAN_MAX`].
pub fn span_from_ms(ms: f64) -> Option<Duration> {
    let span = Duration::try_from_secs_f64(ms / 1000.0).ok()?;
    (span <= SPAN_MAX).then_some(span)
}

/// Returns a duration in milliseconds, at most [`SPAN_MAX`], for an age or a time limit beyond which
/// a longer one makes no difference.
pub fn clamped_span_from_ms(ms: u64) -> Duration {
    Duration::from_millis(ms).min(SPAN_MAX)
}
