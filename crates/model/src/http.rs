//! Exchanges of the gateway: callers' HTTP requests that are passed on to targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{AttemptKey, Outcome, TargetKey};

/// One header that is passed on unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value.
    pub value: Bytes,
}

/// A caller's request as every attempt passes it on.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct HttpRequest {
    /// Identifier of this attempt of the caller.
    pub request_id: String,
    /// Method.
    pub method: String,
    /// Host without a port; selects the front together with the path.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Headers that do not concern a single connection.
    pub headers: Vec<Header>,
    /// Time that the caller is still willing to wait, if it says so.
    pub timeout: Option<Duration>,
    /// The whole body.
    pub body: Bytes,
}

/// Load of a target as its replies state it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotLoad {
    /// Requests that the target executes.
    pub running_count: u32,
    /// Requests that wait in the target.
    pub waiting_count: u32,
    /// Requests that the target executes at the same time.
    pub slots_count: u32,
}

/// One request to one target.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptCall {
    /// Key that the reply or the failure repeats.
    pub attempt: AttemptKey,
    /// The target.
    pub target: TargetKey,
    /// The target's identifier; whoever else holds its address declines the request.
    pub target_id: Arc<str>,
    /// The target's address.
    pub address: SocketAddr,
    /// Time that the target may take.
    pub timeout: Duration,
    /// The caller's request.
    pub request: Arc<HttpRequest>,
    /// Whether the reply's headers are passed on to the caller.
    pub is_passed_on: bool,
}

/// What a caller of the gateway receives.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HttpResponse {
    /// A target's reply, unchanged.
    Passed(PassedReply),
    /// The merged parts of a query over several services.
    Merged {
        /// Proofs of the parts that are in the body.
        proofs: Vec<Arc<str>>,
        /// Services whose part is not in the body.
        missing_count: u32,
        /// The records.
        body: Bytes,
    },
    /// The gateway's own word on a request that no reply is passed on for.
    Ended {
        /// Whether the request ran.
        outcome: Outcome,
        /// Time after which the caller may try again.
        retry_after: Option<Duration>,
    },
}

/// A target's reply as it is passed on to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PassedReply {
    /// HTTP status.
    pub code: u16,
    /// The target's proof that it made the reply.
    pub proof: Option<Arc<str>>,
    /// Headers that do not concern a single connection.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}
