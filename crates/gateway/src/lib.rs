//! Callers' HTTP requests by host and path: placing, second calls, merging, and honest ends.
//!
//! An exchange is one attempt of a caller. It has one part for each service that it needs: one on
//! an ordinary front, all of them on a front that gathers. A part is sent to one target at first,
//! and to another one if the first fails or is late.
//!
//! Invariants:
//! - every exchange is answered once, unless its caller leaves;
//! - a request that is not idempotent is sent again only if the last target has not executed it;
//! - a part is sent to at most as many targets as its front allows;
//! - calls beyond the first of a part, calls to cold targets and connections stay within this
//!   instance's share of what all instances may use together;
//! - a merged answer holds only whole replies of the services that one configuration names, each
//!   at most once, and counts the others as missing.

mod budget;
mod completion;
mod health;
mod isolation;
mod latency;
mod merge;
mod relay;
mod request;
mod respond;
mod selection;
mod send;
mod state;
mod tick;
mod timer;

#[cfg(test)]
mod tests;

pub use budget::{RetryBudget, allows_extra_call};
pub use completion::{attempt_failed, attempt_replied, caller_gone};
pub use health::{Health, is_avoided};
pub use latency::LatencyEstimate;
pub use merge::greatest_records;
pub use relay::{relay_answered, relay_cancelled, relay_taken, relay_unreachable, relayed};
pub use request::offered;
pub use respond::{finish_all, refuse};
pub use selection::{Choice, choose};
pub use state::{
    Attempt, Exchange, FrontStats, Gateway, Part, PartState, Relay, fingerprint, is_known, open,
};
pub use tick::{Fleet, paused, set_fleet, targets_gone, tick};
pub use timer::due;
