//! The table of queries and their calls.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use model::{
    Answer, CallKey, MissingReason, Priority, QueryKey, Requester, ServiceKey, Snapshot, TargetKey,
    ZoneKey,
};
use once::Evidence;
use serde::Serialize;
use slotmap::SlotMap;

/// All queries that wait or run, and all calls in flight.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Queries {
    /// Queries.
    pub queries: SlotMap<QueryKey, Query>,
    /// Calls in flight.
    pub calls: SlotMap<CallKey, Call>,
}

/// A query.
#[derive(Clone, Debug, Serialize)]
pub struct Query {
    /// Who waits for the answer.
    pub requester: Requester,
    /// Identifier that the answer repeats.
    pub request_id: Arc<str>,
    /// Name of the front.
    pub front: String,
    /// Name of the only service to ask, if the request names one.
    pub service: Option<String>,
    /// Importance.
    pub priority: Priority,
    /// Ticket of a request that runs at most once.
    pub ticket: Option<String>,
    /// When the answer must leave.
    #[serde(skip)]
    pub deadline: Instant,
    /// The caller's query.
    #[serde(skip)]
    pub body: Bytes,
    /// Whether it has been started.
    pub is_running: bool,
    /// Snapshot that every result is read from, once pinned.
    pub snapshot: Option<Snapshot>,
    /// Zones that may be used; all if empty.
    pub zones: Vec<ZoneKey>,
    /// Services of the pinned snapshot.
    pub shards: Vec<Shard>,
    /// Shards in state [`ShardState::Open`].
    pub open_count: u32,
    /// What is known about the calls that have ended.
    pub evidence: Evidence,
}

/// The part of a query that goes to one service.
#[derive(Clone, Debug, Serialize)]
pub struct Shard {
    /// The service.
    pub service: ServiceKey,
    /// Its name.
    pub name: Arc<str>,
    /// What has come of it.
    pub state: ShardState,
    /// Targets that were called.
    pub tried: Vec<TargetKey>,
    /// Calls in flight.
    pub calls: Vec<CallKey>,
}

/// What has come of one shard.
#[derive(Clone, Debug, Serialize)]
pub enum ShardState {
    /// No result yet.
    Open,
    /// The whole reply.
    Answered(#[serde(skip)] Bytes),
    /// No result will come.
    Missing(MissingReason),
}

/// A call in flight.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Call {
    /// The query.
    pub query: QueryKey,
    /// Position of the shard in the query.
    pub shard_index: usize,
    /// The target.
    pub target: TargetKey,
    /// When it was sent.
    #[serde(skip)]
    pub sent_at: Instant,
}

/// A query that has ended.
#[derive(Clone, Debug)]
pub struct Finished {
    /// Who waits for the answer.
    pub requester: Requester,
    /// Ticket of a request that runs at most once.
    pub ticket: Option<String>,
    /// The answer.
    pub answer: Answer,
}
