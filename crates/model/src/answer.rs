//! What a caller receives.

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
    /// No target of the service may receive work at present.
    NoTarget,
    /// Every permitted attempt failed.
    Failed,
    /// No target of the service serves the snapshot of the answer.
    SnapshotGone,
    /// The limit of calls to targets in cold start is reached.
    Cold,
    /// The service replied to the first request under the ticket; the reply is no longer held.
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

/// How much of the front an answer covers.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Coverage {
    /// Services of the pinned snapshot whose whole reply is in the answer.
    pub answered_count: u32,
    /// Services of the pinned snapshot.
    pub total_count: u32,
    /// The services that make up the difference.
    pub missing: Vec<Missing>,
}

/// The reply of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardResult {
    /// Name of the service.
    pub service: Arc<str>,
    /// The reply, unchanged.
    pub body: Bytes,
}

/// The answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// Identifier of the request.
    pub request_id: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Snapshot that every result was read from, if any target was asked.
    pub snapshot: Option<Snapshot>,
    /// How much of the front is covered.
    pub coverage: Coverage,
    /// Results in the order of the front's services.
    pub results: Vec<ShardResult>,
}
