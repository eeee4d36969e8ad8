//! Timers that a reducer sets for itself.

use serde::{Deserialize, Serialize};

use crate::{ExchangeKey, QueryKey, StoreArea, WaitKey};

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Timer {
    /// A query, waiting or running, has reached its deadline.
    Deadline(QueryKey),
    /// A running query has calls that may be late enough for a hedge.
    Hedge(QueryKey),
    /// A requester has waited for the outcome of a ticket until its deadline.
    Wait(WaitKey),
    /// The regular tick: pause detection, gossip, probes, connection shares, freshness.
    Tick,
    /// The next read of the platform.
    Platform,
    /// An exchange of the gateway has late attempts, reaches its goal or its deadline.
    Exchange(ExchangeKey),
    /// The next read of an area of the store.
    Store(StoreArea),
}
