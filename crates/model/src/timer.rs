//! Timers that the reducer sets.

use serde::{Deserialize, Serialize};

use crate::{CallerKey, ExchangeKey, QueryKey, StoreArea, WaitKey};

/// What to do when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Timer {
    /// A queued or running query has reached its deadline.
    Deadline(QueryKey),
    /// Check whether a running query has calls that are slow enough for a hedge.
    Hedge(QueryKey),
    /// A requester that waits for the outcome of a ticket has reached its deadline.
    Wait(WaitKey),
    /// The periodic tick: pause detection, gossip, probes, connection shares, freshness.
    Tick,
    /// Start the next read of the platform.
    Platform,
    /// A gateway exchange has late attempts, or has reached its latency goal or deadline.
    Exchange(ExchangeKey),
    /// A request of the gateway waits for a permit.
    Permit(CallerKey),
    /// Start the next read of a store area.
    Store(StoreArea),
}
