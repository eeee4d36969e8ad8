//! What a caller asks for.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::CallerKey;

/// Who waits for the answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Requester {
    /// A caller of this instance.
    Caller(CallerKey),
    /// Another instance, which forwarded the request of one of its callers.
    Peer {
        /// Its peers' port.
        address: SocketAddr,
        /// Its correlation number.
        forward_id: u64,
    },
}

/// Importance of a request when not everything can be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served before everything else.
    Urgent,
    /// The default.
    #[default]
    Normal,
    /// May wait until its deadline, but is not starved.
    Deferrable,
}

/// Whether a request may be sent to a target more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Kind<'a> {
    /// A read: retries and hedges are allowed.
    Idempotent,
    /// An order or a payout: runs at most once, under the ticket that the caller obtained before.
    Once {
        /// The ticket as the caller sent it, not yet checked.
        ticket: &'a str,
    },
}

/// A caller's request, borrowed from the decoded message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestView<'a> {
    /// Identifier chosen by the caller or the edge, repeated in the answer.
    pub request_id: &'a str,
    /// Name of the front.
    pub front: &'a str,
    /// The one service to ask, or `None` for every service of the front.
    pub service: Option<&'a str>,
    /// Importance under overload.
    pub priority: Priority,
    /// Whether the request may run more than once.
    #[serde(borrow)]
    pub kind: Kind<'a>,
    /// Time that the caller is still willing to wait.
    pub timeout: Duration,
    /// Opaque query, passed to every target unchanged.
    pub body: &'a [u8],
}
