//! Periodic maintenance of the routing table.

use std::time::{Duration, Instant};

use model::Effect;

use crate::{Routes, cold_start, reachability, share};

/// Age from which on a load report is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_secs(1);

/// Applies larger shares, sends due probes, grants trial calls and decays old observations.
pub fn tick(routes: &mut Routes, now: Instant, out: &mut Vec<Effect>) {
    share::grow_shares(routes, now, out);
    reachability::send_due_probes(routes, now, out);
    maintain_targets(routes, now);
}

/// Grants trial calls, ignores old load reports, and moves the mean latency of idle targets towards
/// the median of their service, so that a target which was slow once is selected again.
fn maintain_targets(routes: &mut Routes, now: Instant) {
    for target in routes.targets.values_mut() {
        cold_start::grant_trial_call(target, now);
        let is_old = target
            .reported_at
            .is_none_or(|at| now >= at + REPORT_MAX_AGE);
        if is_old {
            target.others_in_flight_count = 0;
        }
        let Some(service) = routes.services.get(target.service) else {
            continue;
        };
        if target.in_flight_count == 0 && !service.latency.median.is_zero() {
            target.mean_latency = (target.mean_latency + service.latency.median) / 2;
        }
    }
}
