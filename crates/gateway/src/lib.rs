//! Reverse proxy for callers' HTTP requests: routing by host and path, target selection, retries
//! and hedged requests, and merging of replies.
//!
//! An exchange is one HTTP request of a caller, from arrival to response. It has one part per
//! service that has to contribute: a single part on a front that splits its traffic, and one part
//! for each service on a front that gathers. A part starts with one attempt, that is, one request
//! to one target. A retry follows if an attempt fails, and a hedge if its reply is late; both are
//! extra calls, unless no target can have received the part before.
//!
//! Invariants:
//! - every exchange is answered exactly once, unless its caller disconnects;
//! - a request that is not idempotent is sent again only if the last target has not executed it;
//! - a part is sent to at most as many targets as its front allows;
//! - extra calls, requests to targets in cold start or with a rate limit, and connections stay
//!   within this instance's share of the limits that all instances have in common;
//! - if the configuration names organisations, a request is sent to its first target only if the
//!   configuration in force admits its caller, and neither targets nor other instances receive the
//!   caller's key;
//! - a merged answer contains only complete replies of services that a single version of the
//!   configuration names, at most one per service, and counts the other services as missing.

mod access;
mod budget;
mod completion;
mod health;
mod isolation;
mod latency;
mod log_line;
mod merge;
mod permit;
mod rate_limit;
mod relay;
mod request;
mod respond;
mod selection;
mod send;
mod state;
mod stated_backoff;
mod tick;
mod timer;
mod unresolved;

#[cfg(test)]
mod tests;

pub use access::{is_authenticated, on_configuration};
pub use budget::{RetryBudget, allows_extra_call};
pub use completion::{on_attempt_failure, on_attempt_reply, on_caller_gone, on_quarantined};
pub use health::{Health, is_in_backoff};
pub use latency::LatencyEstimate;
pub use merge::greatest_records;
pub use permit::{Held, on_permit_timer, process as process_permits};
pub use rate_limit::{
    RateLimit, ShareHolder, ShareHolders, mark_rate_limits_sent, merge_rate_limits,
    rate_limit_updates,
};
pub use relay::{
    RelayAnswer, on_relay_accepted, on_relay_answer, on_relay_cancel, on_relay_granted,
    on_relay_request, on_relay_unreachable,
};
pub use request::on_request;
pub use respond::{finish_all, refuse};
pub use selection::{Choice, choose_target};
pub use state::{
    Attempt, Exchange, FrontStats, Gateway, Part, PartState, Relay, fingerprint, is_known,
    new_state, set_settings,
};
pub use tick::{Fleet, on_pause, remove_targets, set_fleet, tick};
pub use timer::on_exchange_timer;
pub use unresolved::{UnresolvedAttempt, has_silent_target, take_unresolved};
