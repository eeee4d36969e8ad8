//! The table of queries and their calls.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{
    Answer, CallKey, MissingReason, Priority, QueryKey, Requester, ServiceKey, Snapshot, TargetKey,
    ZoneKey,
};
use once::Evidence;
use serde::Serialize;
use slotmap::{SecondaryMap, SlotMap};

use crate::{budget::Budgets, waiting::WaitingShards};

/// All queries that wait or run, and all calls in flight.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Queries {
    /// Queries.
    pub queries: SlotMap<QueryKey, Query>,
    /// Calls that occupy a connection, cancelled ones included.
    pub calls: SlotMap<CallKey, Call>,
    /// Shards that wait until a target of their service may have another call.
    pub waiting: SecondaryMap<ServiceKey, WaitingShards>,
    /// Shards, by query and position, that are tried again at the next tick.
    pub parked: Vec<(QueryKey, usize)>,
    /// Calls allowed beyond the first one of each shard.
    pub budgets: Budgets,
    /// Queries that ended as a consequence of another one's event.
    #[serde(skip)]
    pub ended: Vec<Finished>,
    /// When the process last woke up from a pause; ages are counted from then at the earliest.
    #[serde(skip)]
    pub resumed_at: Option<Instant>,
    /// When the last event came.
    #[serde(skip)]
    pub last_event_at: Option<Instant>,
}

/// A query.
#[derive(Clone, Debug)]
#[derive(Serialize)]
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
    /// When it was started.
    #[serde(skip)]
    pub started_at: Option<Instant>,
    /// Number of the attempt; each restart on another snapshot is a new one.
    pub attempt_count: u32,
    /// When the timer that looks for late calls is due.
    #[serde(skip)]
    pub hedge_due: Option<Instant>,
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
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Shard {
    /// The service.
    pub service: ServiceKey,
    /// Its name.
    pub name: Arc<str>,
    /// What has come of it.
    pub state: ShardState,
    /// Targets that were called.
    pub tried: Vec<TargetKey>,
    /// Calls in flight that were not cancelled.
    pub calls: Vec<CallKey>,
    /// Calls whose connection was lost while a target may have been executing them.
    pub lost_count: u32,
    /// Whether no further target may be called, because the request may be what crashes them.
    pub is_retry_barred: bool,
    /// When its call is late, unless that has been dealt with.
    #[serde(skip)]
    pub late_at: Option<Instant>,
}

/// What has come of one shard.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub enum ShardState {
    /// No result yet.
    Open,
    /// The whole reply.
    Answered(#[serde(skip)] Bytes),
    /// No result will come.
    Missing(MissingReason),
}

/// A call in flight.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Call {
    /// The query.
    pub query: QueryKey,
    /// Position of the shard in the query.
    pub shard_index: usize,
    /// The target.
    pub target: TargetKey,
    /// Why it was sent.
    pub cause: Cause,
    /// When it was sent.
    #[serde(skip)]
    pub sent_at: Instant,
    /// Calls that each slot of its target had when it was sent.
    pub calls_per_slot_count: u32,
    /// Whether it was noted as late.
    pub is_noted_late: bool,
    /// When it was cancelled.
    #[serde(skip)]
    pub cancelled_at: Option<Instant>,
    /// Whether the shell was told to drop its connection.
    pub is_abandoned: bool,
}

/// Why a call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It is the first one of its shard.
    Primary,
    /// Another one is late.
    Hedge,
    /// Another one failed.
    Retry,
}

/// A query that has ended.
#[derive(Clone, Debug)]
pub struct Finished {
    /// Who waits for the answer.
    pub requester: Requester,
    /// Ticket of a request that runs at most once.
    pub ticket: Option<String>,
    /// Name of the front.
    pub front: String,
    /// Time since it was started.
    pub ran_for: Duration,
    /// The answer.
    pub answer: Answer,
}
