//! What instances tell each other in digests besides their view of the fleet: the quarantine and
//! the rate limits of targets.

use std::time::Instant;

use model::{Effect, Observations};

use crate::{State, quarantine};

/// Returns the observations to include in a digest.
pub(crate) fn collect(state: &State, now: Instant) -> Observations {
    let gateway = state.gateway.as_ref();
    Observations {
        quarantine: quarantine::digest_updates(state, now),
        rate_limits: gateway.map_or_else(Vec::new, |gateway| {
            gateway::rate_limit_updates(gateway, now)
        }),
    }
}

/// Marks observations as sent with this tick's digests.
pub(crate) fn tick(state: &mut State, now: Instant, sent: &Observations) {
    quarantine::tick(state, now, &sent.quarantine);
    if let Some(gateway) = &mut state.gateway {
        gateway::mark_rate_limits_sent(gateway, &sent.rate_limits);
    }
}

/// Merges the observations of another instance's digest.
pub(crate) fn merge(
    state: &mut State,
    now: Instant,
    from: &str,
    observations: &Observations,
    out: &mut Vec<Effect>,
) {
    quarantine::merge_updates(state, now, from, &observations.quarantine, out);
    if let Some(gateway) = &mut state.gateway {
        gateway::merge_rate_limits(gateway, now, from, &observations.rate_limits, out);
    }
}
