//! The life of a query: fan-out to one target of every service, replies, and the answer.
//!
//! Invariants:
//! - every accepted query yields exactly one [`Finished`];
//! - every result of an answer was read from the answer's snapshot;
//! - coverage counts the services whose whole reply arrived before the answer was made;
//! - a reply or failure whose call is not running any more changes nothing but a counter and what is
//!   known about its target;
//! - a cancelled call counts as a connection in use until it has ended;
//! - hedges and retries stay within their budgets, and a replica is called once per attempt.

mod accept;
mod answer;
mod budget;
mod end;
mod hedge;
mod park;
mod restart;
mod send;
mod shard;
mod table;
mod tick;
mod waiting;

pub use accept::{accept, start};
pub use budget::{Budget, Budgets, open as open_budgets};
pub use end::{call_failed, deadline, replied};
pub use hedge::hedge;
pub use table::{Call, Cause, Finished, Queries, Query, Shard, ShardState};
pub use tick::tick;
pub use waiting::{WaitingShard, WaitingShards};
