//! Lifecycle of a query: fan-out to one target of every service, replies, hedges and retries, and
//! the answer.
//!
//! Invariants:
//! - every accepted query yields exactly one [`FinishedQuery`];
//! - every result in the answer of an idempotent query was read from the answer's snapshot;
//! - coverage counts the services whose complete reply arrived before the answer was built;
//! - a reply or failure of a call that was cancelled or has ended changes at most a counter and the
//!   observed state of its target;
//! - a cancelled call occupies a connection until it has ended;
//! - hedges stay within their budget, except those that relieve a cold target; so do retries of
//!   idempotent calls that were shed, or that failed and may have been executed;
//! - a replica is called at most once per attempt, unless its shard is deferred.

mod accept;
mod answer;
mod budget;
mod completion;
mod defer;
mod hedge;
mod restart;
mod send;
mod shard;
mod table;
mod tick;
mod waiting;

pub use accept::{accept, start};
pub use budget::{Budget, Budgets, new_budgets};
pub use completion::{on_call_failure, on_deadline, on_reply};
pub use hedge::on_hedge_timer;
pub use table::{Call, Cause, FinishedQuery, Queries, Query, Shard, ShardState};
pub use tick::tick;
pub use waiting::{WaitingShard, WaitingShards};
