//! The regular work on the table of targets.

use std::time::{Duration, Instant};

use model::Effect;

use crate::{Routes, reach, share, warmth};

/// Age after which a load report no longer counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Grows shares, sends probes and lets old knowledge fade.
pub fn tick(routes: &mut Routes, now: Instant, out: &mut Vec<Effect>) {
    share::grow_when_due(routes, now, out);
    reach::probe_due(routes, now, out);
    fade(routes, now);
}

/// Forgets old reports, and draws the mean latency of idle targets towards that of their service, so
/// that a target which was slow once is tried again.
fn fade(routes: &mut Routes, now: Instant) {
    for target in routes.targets.values_mut() {
        warmth::trust_old_report(target, now);
        let is_old = target
            .reported_at
            .is_none_or(|at| now >= at + REPORT_LIFETIME);
        if is_old {
            target.foreign_count = 0;
        }
        let Some(service) = routes.services.get(target.service) else {
            continue;
        };
        if target.in_flight_count == 0 && !service.latency.median.is_zero() {
            target.mean_latency = (target.mean_latency + service.latency.median) / 2;
        }
    }
}
