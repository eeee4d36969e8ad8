//! What may be sent to a target, as far as the store tells.

use std::time::Instant;

use model::TargetKey;

use crate::{Catalog, apply};

/// What may be sent to a target, from the most to the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Anything.
    Ready,
    /// A limited number of requests a second.
    Cold,
    /// Requests that no other target can take.
    Leaving,
    /// Nothing.
    Out,
}

/// Returns what may be sent to a target.
pub fn standing(catalog: &Catalog, target: TargetKey, now: Instant) -> Standing {
    let Some(target) = catalog.targets.get(target) else {
        return Standing::Out;
    };
    if catalog.zones_out.contains(&target.zone) {
        return Standing::Out;
    }
    if target.draining_since.is_some() || target.removed_since.is_some() {
        let is_usable = apply::is_leaving_usable(target, now);
        return if is_usable {
            Standing::Leaving
        } else {
            Standing::Out
        };
    }
    match target.cold_until {
        Some(until) if now < until => Standing::Cold,
        _ => Standing::Ready,
    }
}
