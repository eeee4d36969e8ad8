//! The vocabulary that every crate of balsamfall shares.
//!
//! One process runs one reducer. Everything that happens to the process is an [`Event`], everything
//! it does is an [`Effect`], and both are plain data without any encoding: HTTP, JSON and protobuf
//! are converted to and from these types at the edge.
//!
//! Invariants:
//! - an [`Event`] borrows what it carries; what the reducer keeps, it copies when it stores it;
//! - an [`Effect`] owns what it carries, because it is stored until the shell runs it;
//! - keys are generational, so a late event that names a finished query, call or caller meets a key
//!   that resolves to nothing;
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
mod store;
mod timer;
mod word;

pub use answer::{Answer, Coverage, Missing, MissingReason, ShardResult};
pub use effect::{Counter, Effect, PlatformRead, TargetCall, Timing};
pub use event::{AttemptReply, CallFailure, Event, PlatformFailure, ReplyStatus, ReplyView};
pub use http::{AttemptCall, Header, HttpRequest, HttpResponse, PassedReply, SlotLoad};
pub use key::{
    AttemptKey, CallKey, CallerKey, ExchangeKey, FrontKey, QueryKey, ServiceKey, TargetKey,
    WaitKey, ZoneKey,
};
pub use load::{LoadReport, TargetPhase};
pub use log_line::{Level, LogLine, Value};
pub use message::{
    Digest, ForwardedRequest, InstanceId, MemberRow, MemberState, MergedAnswer, Message,
    QuarantineRow, RelayedRequest, StoreChanges,
};
pub use outcome::{NotRunReason, Outcome, UnknownReason};
pub use request::{Kind, Priority, RequestView, Requester};
pub use store::{
    Configuration, Destination, FrontEntry, Record, Registration, ServiceEntry, StoreArea,
    StoreFailure, StoreRead,
};
pub use timer::Timer;
pub use word::{from_word, to_word};

/// Number of a version of the index. A larger number is newer.
pub type Snapshot = u64;

/// Number of a published configuration. A larger number is newer.
pub type Revision = u64;
