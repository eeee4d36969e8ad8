//! Core data types shared by all crates of balsamfall.
//!
//! One process runs one reducer, which is a pure state machine, and one shell, which does all I/O.
//! The shell reports everything that happens as an [`Event`], and the reducer returns everything to
//! do as an [`Effect`]. Both are independent of any encoding: the shell converts HTTP, JSON and
//! protobuf to and from these types.
//!
//! Invariants:
//! - an [`Event`] borrows its data; the reducer copies only what it stores;
//! - an [`Effect`] owns its data, because it is stored until the shell performs it;
//! - keys are generational, so the key in a late event resolves to nothing once its query, call or
//!   caller has been removed;
//! - no type in this crate reads a clock, draws a random number or does I/O.

mod answer;
mod effect;
mod event;
mod http;
mod key;
mod load;
mod log_line;
mod message;
mod outcome;
mod request;
mod secret;
mod span;
mod store;
mod timer;
mod variant_name;

pub use answer::{Answer, Coverage, Missing, MissingReason, ShardResult};
pub use effect::{Counter, Effect, PlatformRead, TargetCall, Timing};
pub use event::{AttemptReply, CallFailure, Event, PlatformFailure, ReplyStatus, ReplyView};
pub use http::{
    AttemptCall, Header, HttpRequest, HttpResponse, ProxiedReply, SlotLoad, TargetReport,
};
pub use key::{
    AttemptKey, CallKey, CallerKey, ExchangeKey, FrontKey, QueryKey, ServiceKey, TargetKey,
    WaitKey, ZoneKey,
};
pub use load::{LoadReport, TargetPhase};
pub use log_line::{Level, LogLine, LogValue};
pub use message::{
    Digest, ForwardedRequest, InstanceId, MemberRow, MemberState, MergedAnswer, Message,
    Observations, QuarantineUpdate, RateLimitUpdate, RelayedRequest, StoreChanges, StrikeUpdate,
};
pub use outcome::{NotRunReason, Outcome, UnknownReason};
pub use request::{ExecutionKind, Priority, RequestView, Requester};
pub use secret::{Credential, Secret};
pub use span::{SPAN_MAX, clamped_span_from_ms, span_from_ms};
pub use store::{
    Configuration, Destination, FrontEntry, OrganisationEntry, Registration, ServiceEntry,
    StoreArea, StoreFailure, StoreRead, StoreRecord, UsageCap,
};
pub use timer::Timer;
pub use variant_name::{variant_from_name, variant_name};

/// Version number of the index that targets serve. A larger number is newer.
pub type Snapshot = u64;

/// Revision number of a published configuration. A larger number is newer.
pub type Revision = u64;
