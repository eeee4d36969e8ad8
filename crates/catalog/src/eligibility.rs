//! Eligibility of targets for requests, according to the store.

use std::time::Instant;

use model::TargetKey;

use crate::{Catalog, apply};

/// Requests that a target may receive; variants are ordered from the least to the most restrictive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Eligibility {
    /// All requests.
    Ready,
    /// A limited rate of requests, because the target is in cold start.
    Cold,
    /// Only requests that no other target can take.
    Leaving,
    /// No requests.
    Out,
}

/// Returns which requests a target may receive at a time; [`Eligibility::Out`] for unknown targets.
pub fn eligibility(catalog: &Catalog, target: TargetKey, now: Instant) -> Eligibility {
    let Some(target) = catalog.targets.get(target) else {
        return Eligibility::Out;
    };
    if catalog.zones_out.contains(&target.zone) {
        return Eligibility::Out;
    }
    if target.draining_since.is_some() || target.removed_since.is_some() {
        let is_in_grace_period = apply::is_in_grace_period(target, now);
        return if is_in_grace_period {
            Eligibility::Leaving
        } else {
            Eligibility::Out
        };
    }
    match target.cold_until {
        Some(until) if now < until => Eligibility::Cold,
        _ => Eligibility::Ready,
    }
}
