//! Changes that operators see: which organisations this instance issues permits for, and which it
//! refuses for their cap.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{Quota, view::issuing_since};

/// Changes from which on one call reports no further organisation. Each is a log line; at ticks of
/// 200 ms these are 25 to 30 a second.
const CHANGES_MAX_COUNT: usize = 5;
/// Time without a refusal after which an organisation counts as within its cap: a demand near the
/// cap is refused every few seconds, and each would be two log lines.
const QUIET_TIME: Duration = Duration::from_secs(10);

/// What has been reported of an organisation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reported {
    is_issuing: bool,
    /// Requests refused for the cap up to the last call.
    over_cap_count: u64,
    /// Those before the refusals that have been reported; `None` if none have.
    before_count: Option<u64>,
    last_refused_at: Option<Instant>,
}

/// A change of an organisation at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// This instance issues permits from now on.
    IssuingStarted,
    /// It does not any more.
    IssuingStopped,
    /// Requests are refused because the cap is used up.
    RefusingStarted,
    /// None has been refused for a while.
    RefusingEnded {
        /// Requests that have been refused since the start.
        refused_count: u64,
    },
}

/// Returns the changes since the last call. Those beyond a bounded number follow in later calls.
pub fn changes(quota: &mut Quota, now: Instant) -> Vec<(Arc<str>, Change)> {
    let mut changes = Vec::new();
    for (name, organisation) in &mut quota.organisations {
        let is_issuing = issuing_since(&quota.view, organisation, now).is_some();
        let over_cap_count = organisation.counts.over_cap_count;
        let reported = &mut organisation.reported;
        let before_count = reported.over_cap_count;
        if over_cap_count > before_count {
            reported.last_refused_at = Some(now);
            reported.over_cap_count = over_cap_count;
        }
        if changes.len() >= CHANGES_MAX_COUNT {
            continue;
        }
        if is_issuing != reported.is_issuing {
            reported.is_issuing = is_issuing;
            let change = match is_issuing {
                true => Change::IssuingStarted,
                false => Change::IssuingStopped,
            };
            changes.push((name.clone(), change));
        }
        let is_refused = reported
            .last_refused_at
            .is_some_and(|at| now < at + QUIET_TIME);
        match reported.before_count {
            None if is_refused => {
                reported.before_count = Some(before_count);
                changes.push((name.clone(), Change::RefusingStarted));
            }
            Some(before_count) if !is_refused => {
                reported.before_count = None;
                let refused_count = over_cap_count - before_count;
                changes.push((name.clone(), Change::RefusingEnded { refused_count }));
            }
            _ => {}
        }
    }
    changes
}
