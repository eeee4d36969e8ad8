//! Usage caps of organisations over all instances: permits, their issuers and their holders.
//!
//! A cap is divided among availability zones. In each zone one instance, the issuer, keeps a token
//! bucket with the zone's part and grants permits from it. An instance that has to send a request
//! of a capped organisation spends a permit, and asks the issuers for one if it holds none.
//!
//! Invariants:
//! - the parts of all zones follow from the settings and the configuration, not from the members
//!   that an instance sees at the moment;
//! - a permit is deducted before it is granted and spent at most once: a reply is accepted once, by
//!   the process that asked, and a returned permit is accepted once, by the process that granted it;
//! - an issuer starts with an empty bucket, also after a pause of its process;
//! - permits ahead of need that may be held, over all instances, fit in what the bound leaves;
//! - every waiting request is admitted, refused or forgotten exactly once.
//!
//! Nothing here does I/O or reads a clock.

mod hold;
mod issue;
mod limits;
mod report;
mod state;
mod tick;
mod view;

#[cfg(test)]
mod tests;

pub use hold::{
    forget, give_back, on_answer, on_unreachable, on_wait_timer, refuse_all_waiting, request,
};
pub use issue::{on_question, on_return};
pub use limits::{Limits, limits};
pub use report::{Change, changes};
pub use state::{
    Counts, Organisation, Output, Permit, PermitSource, Quota, Refusal, is_used, new_state,
    organisations,
};
pub use tick::{on_pause, set_caps, tick};
pub use view::{Candidate, FleetView, issuers, set_view};
