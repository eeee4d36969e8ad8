//! The life of a query: fan-out to one target of every service, replies, and the answer.
//!
//! Invariants:
//! - every accepted query yields exactly one [`Finished`];
//! - every result of an answer was read from the answer's snapshot;
//! - coverage counts the services whose whole reply arrived before the answer was made;
//! - a reply or failure whose call is not running any more changes nothing but a counter.

mod accept;
mod answer;
mod end;
mod send;
mod table;

pub use accept::{accept, start};
pub use end::{call_failed, deadline, replied};
pub use table::{Call, Finished, Queries, Query, Shard, ShardState};
