//! The table of queries, their shards and their calls.

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

/// All queued and running queries, and all calls in flight.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Queries {
    /// Queued and running queries.
    pub queries: SlotMap<QueryKey, Query>,
    /// Calls that occupy a connection, cancelled ones that have not ended included.
    pub calls: SlotMap<CallKey, Call>,
    /// Shards that wait until a target of their service has capacity for another call.
    pub waiting: SecondaryMap<ServiceKey, WaitingShards>,
    /// Shards, by query and index, that are retried at the next tick.
    #[serde(rename = "parked")]
    pub deferred: Vec<(QueryKey, usize)>,
    /// Budgets of the calls beyond the first one of each shard.
    pub budgets: Budgets,
    /// Queries that ended while an event of another query, or a tick, was processed. The caller of
    /// this crate removes them.
    #[serde(skip)]
    pub finished: Vec<FinishedQuery>,
    /// When the process last resumed after a pause; calls sent before are not judged by their age.
    #[serde(skip)]
    pub resumed_at: Option<Instant>,
    /// When the last event was processed, by which pauses are detected.
    #[serde(skip)]
    pub last_event_at: Option<Instant>,
}

/// A query.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Query {
    /// Where the answer is sent.
    pub requester: Requester,
    /// Identifier of the request, which the answer repeats.
    pub request_id: Arc<str>,
    /// Name of the front.
    pub front: String,
    /// Name of the only service to call, if the request names one.
    pub service: Option<String>,
    /// Priority of the request.
    pub priority: Priority,
    /// Ticket of a request that runs at most once.
    pub ticket: Option<String>,
    /// When the answer must be sent.
    #[serde(skip)]
    pub deadline: Instant,
    /// Body of the request, passed to every target unchanged.
    #[serde(skip)]
    pub body: Bytes,
    /// Whether it was started; otherwise it is queued.
    pub is_running: bool,
    /// When it was started.
    #[serde(skip)]
    pub started_at: Option<Instant>,
    /// Restarts on a newer snapshot so far; each one begins a new attempt.
    #[serde(rename = "attempt_count")]
    pub restart_count: u32,
    /// When the hedge timer fires, if one is set.
    #[serde(skip)]
    pub hedge_due: Option<Instant>,
    /// Snapshot that every result is read from; `None` until one is pinned.
    pub snapshot: Option<Snapshot>,
    /// Zones whose targets may be called; all if empty.
    pub zones: Vec<ZoneKey>,
    /// One shard per requested service, in the order of the shard map.
    pub shards: Vec<Shard>,
    /// Number of shards in state [`ShardState::Open`].
    pub open_count: u32,
    /// Counts of ended and cancelled calls, from which the outcome is derived.
    pub evidence: Evidence,
}

/// The part of a query that goes to one service.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Shard {
    /// The service.
    pub service: ServiceKey,
    /// Name of the service.
    pub name: Arc<str>,
    /// Whether a result has arrived or is missing.
    pub state: ShardState,
    /// Targets that were called in this attempt. They are not called again, unless the shard is
    /// deferred.
    pub tried: Vec<TargetKey>,
    /// Calls in flight, cancelled ones excluded.
    pub calls: Vec<CallKey>,
    /// Calls whose connection was lost while a target may have been executing them.
    pub lost_count: u32,
    /// Whether a call that may have been executed must not be retried, because the request is
    /// suspected of crashing targets.
    pub is_retry_barred: bool,
    /// When its call becomes late or is checked again; `None` if no check is due.
    #[serde(skip)]
    pub late_at: Option<Instant>,
}

/// State of a shard.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub enum ShardState {
    /// No result has arrived yet.
    Open,
    /// A complete reply with this body has arrived.
    Answered(#[serde(skip)] Bytes),
    /// No result will arrive, for this reason.
    Missing(MissingReason),
}

/// A call in flight.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Call {
    /// The query.
    pub query: QueryKey,
    /// Index of the shard in the query.
    pub shard_index: usize,
    /// The target.
    pub target: TargetKey,
    /// Why it was sent.
    pub cause: Cause,
    /// When it was sent.
    #[serde(skip)]
    pub sent_at: Instant,
    /// Calls in flight per slot of its target when it was sent, itself included.
    pub calls_per_slot_count: u32,
    /// Whether it was counted as a late call of its target.
    #[serde(rename = "is_noted_late")]
    pub is_counted_late: bool,
    /// When it was cancelled.
    #[serde(skip)]
    pub cancelled_at: Option<Instant>,
    /// Whether its connection was abandoned because the call did not end after it was cancelled.
    pub is_abandoned: bool,
}

/// Why a call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The first call of a shard.
    Primary,
    /// A hedged call, because another call is late.
    Hedge,
    /// A retry, because an earlier call failed or was declined, or because the shard was deferred.
    Retry,
}

/// A query that has ended, with its answer.
#[derive(Clone, Debug)]
pub struct FinishedQuery {
    /// Where the answer is sent.
    pub requester: Requester,
    /// Ticket of a request that runs at most once.
    pub ticket: Option<String>,
    /// Name of the front.
    pub front: String,
    /// Time from its start to its end; zero if it was never started.
    pub run_time: Duration,
    /// The answer.
    pub answer: Answer,
}
