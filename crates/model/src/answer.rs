//! Answers to callers.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Outcome, Snapshot};

/// Why a service is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MissingReason {
    /// No reply had arrived when the answer was due.
    Late,
    /// No target of the service is currently eligible for calls.
    NoTarget,
    /// Every permitted attempt failed.
    Failed,
    /// No target of the service serves the snapshot of the answer.
    SnapshotGone,
    /// The service's targets are in cold start and their call limit is reached.
    Cold,
    /// The service replied to the first request under the ticket, but the result was not stored.
    NotHeld,
}

/// A service whose result is not part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Missing {
    /// Name of the service.
    pub service: Arc<str>,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// How many of a front's services contributed to an answer.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Coverage {
    /// Services of the answer's snapshot whose complete reply is in the answer.
    pub answered_count: u32,
    /// Services of the front in the answer's snapshot.
    pub total_count: u32,
    /// The services whose result is missing.
    pub missing: Vec<Missing>,
}

/// The result of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardResult {
    /// Name of the service.
    pub service: Arc<str>,
    /// Body of the target's reply, unchanged.
    pub body: Bytes,
}

/// The answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// Request identifier, as the caller sent it.
    pub request_id: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Snapshot that all results were read from; `None` if no target was called.
    pub snapshot: Option<Snapshot>,
    /// Which services contributed.
    pub coverage: Coverage,
    /// Results in the order of the front's services.
    pub results: Vec<ShardResult>,
}
