//! Requests of callers.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::CallerKey;

/// Where the answer to a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Requester {
    /// A caller of this instance.
    Caller(CallerKey),
    /// Another instance that forwarded a request of one of its callers.
    Peer {
        /// Its peer address.
        address: SocketAddr,
        /// Number that the answer repeats; unique over all processes at the address.
        forward_id: u64,
    },
}

/// Priority of a request under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served before all other requests.
    Urgent,
    /// The priority of a request that states none.
    #[default]
    Normal,
    /// May be queued until its deadline, but is not starved.
    Deferrable,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum ExecutionKind<'a> {
    /// The request may be retried and hedged.
    Idempotent,
    /// The request, such as an order or a payout, runs at most once, under a ticket that the caller
    /// obtained before.
    Once {
        /// The ticket as the caller sent it, not yet verified.
        ticket: &'a str,
    },
}

/// A caller's request, borrowed from the received message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestView<'a> {
    /// Request identifier chosen by the caller or its edge proxy; the answer repeats it.
    pub request_id: &'a str,
    /// Name of the front.
    pub front: &'a str,
    /// Name of the only service to call; `None` for every service of the front.
    pub service: Option<&'a str>,
    /// Priority under overload.
    pub priority: Priority,
    /// Whether the request may run more than once.
    #[serde(borrow)]
    pub kind: ExecutionKind<'a>,
    /// Time left until the caller's deadline.
    pub timeout: Duration,
    /// Body, passed to every target unchanged.
    pub body: &'a [u8],
}
