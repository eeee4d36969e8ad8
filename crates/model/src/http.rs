//! Gateway exchanges: callers' HTTP requests that are proxied to targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{AttemptKey, Credential, Outcome, TargetKey};

/// One header, proxied unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value.
    pub value: Bytes,
}

/// A caller's request in the form in which every attempt sends it to a target.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct HttpRequest {
    /// Request identifier from the caller; each retry by the caller has a different one.
    pub request_id: String,
    /// HTTP method.
    pub method: String,
    /// Host without the port; together with the path it selects the front.
    pub host: String,
    /// Path and query string.
    pub path: String,
    /// End-to-end headers without the credential and the stated organisation; hop-by-hop headers
    /// are removed.
    pub headers: Vec<Header>,
    /// The caller's credential. It is removed on arrival if the configuration names organisations,
    /// so that it reaches neither targets nor other instances.
    pub credential: Option<Credential>,
    /// Organisation that the caller states itself. Removed on arrival like the credential.
    pub stated_organisation: Option<Bytes>,
    /// Organisation of the authenticated caller.
    pub organisation: Option<Arc<str>>,
    /// Time until the caller's deadline, if the request states one.
    pub timeout: Option<Duration>,
    /// The complete body.
    pub body: Bytes,
}

/// Load of a target, as its replies report it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotLoad {
    /// Requests that the target is executing.
    pub running_count: u32,
    /// Requests that are queued in the target.
    pub waiting_count: u32,
    /// Requests that the target can execute concurrently.
    pub slots_count: u32,
    /// How long work currently takes on its machine, in percent of the normal time; `None` if the
    /// target does not state it.
    #[serde(default)]
    pub work_percent: Option<u32>,
}

/// What a target states about itself in a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TargetReport {
    /// Its load.
    pub load: Option<SlotLoad>,
    /// Requests per second that it takes from all instances together; `None` if it names no limit.
    /// Finite and not negative.
    pub rate_limit_per_s: Option<f64>,
    /// Whether it is about to leave and wants no new requests.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this instance, if it states one.
    pub backoff: Option<Duration>,
}

/// One request to one target.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptCall {
    /// Key by which the reply or failure event refers to the attempt.
    pub attempt: AttemptKey,
    /// The target.
    pub target: TargetKey,
    /// The target's identifier; another target at the same address declines the request.
    pub target_id: Arc<str>,
    /// Address of the target.
    pub address: SocketAddr,
    /// Time left until the deadline of the attempt.
    pub timeout: Duration,
    /// The caller's request.
    pub request: Arc<HttpRequest>,
    /// Whether the reply's headers are returned to the caller.
    #[serde(rename = "is_passed_on")]
    pub returns_headers: bool,
}

/// Response to a caller of the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HttpResponse {
    /// A target's reply, unchanged.
    #[serde(rename = "Passed")]
    Proxied(ProxiedReply),
    /// The merged results of a query over several services.
    Merged {
        /// Proof tokens of the results that are merged into the body.
        proofs: Vec<Arc<str>>,
        /// Services whose result is not in the body.
        missing_count: u32,
        /// The merged records.
        body: Bytes,
    },
    /// A response made by the gateway itself, because there is no reply to return.
    #[serde(rename = "Ended")]
    Local {
        /// Whether the request ran.
        outcome: Outcome,
        /// Time after which the caller may retry.
        retry_after: Option<Duration>,
    },
}

/// A target's reply, as it is returned to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProxiedReply {
    /// HTTP status code.
    pub code: u16,
    /// Token by which the target proves that the reply is its own.
    pub proof: Option<Arc<str>>,
    /// End-to-end headers; hop-by-hop headers are removed.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Bytes,
}
