//! Messages between instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Answer, HttpRequest, Priority, Revision, StoreArea};

/// Identity of one run of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct InstanceId {
    /// Name from the settings, unique in the fleet.
    pub name: String,
    /// Number of the run; a larger number is a later run.
    pub incarnation: u64,
}

/// What an instance knows or believes about one instance, itself included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Has not answered for a while; can refute it with a higher counter.
    Suspected,
    /// Shuts down gracefully and may still hold connections.
    Leaving,
    /// Has stopped, or has been suspected for too long.
    Gone,
}

/// One row of a digest: the newest word about one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRow {
    /// The instance.
    pub id: InstanceId,
    /// Address of its peers' port.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Processor time that it may use, in thousandths of a core; 0 if it does not say.
    pub capacity_millicores: u32,
    /// Counter that the instance itself raises to refute a suspicion.
    pub counter: u64,
    /// State.
    pub state: MemberState,
}

/// One quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineRow {
    /// Hash of the front, the service and the body.
    pub fingerprint: u64,
    /// Connections lost while the request was executing.
    pub strikes_count: u32,
    /// Time until the entry expires.
    pub remaining: Duration,
}

/// The periodic exchange between two instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: MemberRow,
    /// Correlates a reply with its digest; also the sending time for round-trip measurement.
    pub sequence: u64,
    /// Whether the receiver should answer with a digest of its own.
    pub wants_reply: bool,
    /// Highest configuration revision that the sender has accepted.
    pub revision: Revision,
    /// Age of the newest confirmation, direct or relayed, that the revision is current.
    pub freshness_age: Duration,
    /// Rows that the sender relays this round.
    pub members: Vec<MemberRow>,
    /// Quarantine entries that the sender relays this round.
    pub quarantine: Vec<QuarantineRow>,
}

/// A request that only its ticket's owner may run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Sender's peers' port, where the answer goes.
    pub reply_to: SocketAddr,
    /// Sender's correlation number.
    pub forward_id: u64,
    /// Identifier of the caller's request.
    pub request_id: String,
    /// Name of the front.
    pub front: String,
    /// Name of the service, if the caller named one.
    pub service: Option<String>,
    /// Importance.
    pub priority: Priority,
    /// The ticket.
    pub ticket: String,
    /// Time that the caller is still willing to wait.
    pub timeout: Duration,
    /// Opaque query.
    pub body: Bytes,
}

/// A query over several services that a larger instance of the zone runs for a smaller one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayedRequest {
    /// Sender's peers' port, where the answer goes.
    pub reply_to: SocketAddr,
    /// Sender's correlation number.
    pub relay_id: u64,
    /// Version of the configuration that the sender has chosen the front by.
    pub version: u64,
    /// The caller's request; its timeout is what is left of it.
    pub request: Arc<HttpRequest>,
    /// Time within which an answer is of full use, if that is not over.
    pub goal: Option<Duration>,
}

/// A merged answer on its way between instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MergedAnswer {
    /// Proofs of the parts that are in the body.
    pub proofs: Vec<Arc<str>>,
    /// Services whose part is not in the body.
    pub missing_count: u32,
    /// The records.
    pub body: Bytes,
}

/// Changes of an area of the store, as the store answered a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreChanges {
    /// The area.
    pub area: StoreArea,
    /// Revision after which the changes come.
    pub after_revision: u64,
    /// Revision up to which all changes are included.
    pub revision: u64,
    /// The answer as published; empty if nothing has changed.
    pub body: Bytes,
}

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Periodic exchange of membership, revision and freshness.
    Digest(Digest),
    /// Asks for the configuration that the receiver has accepted.
    NoteWanted {
        /// Sender's peers' port, where the note goes.
        reply_to: SocketAddr,
        /// Smallest revision that is of use.
        at_least_revision: Revision,
    },
    /// The accepted configuration, as published.
    Note {
        /// Its revision.
        revision: Revision,
        /// The published value.
        body: Bytes,
    },
    /// A request for the owner of its ticket.
    Forward(ForwardedRequest),
    /// The owner's answer to a forwarded request.
    ForwardAnswer {
        /// Correlation number of the request.
        forward_id: u64,
        /// The answer.
        answer: Box<Answer>,
    },
    /// A query for a larger instance.
    Relay(RelayedRequest),
    /// The larger instance has started the query.
    RelayTaken {
        /// Correlation number of the query.
        relay_id: u64,
    },
    /// Nobody waits for the query any more.
    RelayCancel {
        /// Peers' port of the instance that relayed the query.
        reply_to: SocketAddr,
        /// Its correlation number.
        relay_id: u64,
    },
    /// The larger instance's answer.
    RelayAnswer {
        /// Correlation number of the query.
        relay_id: u64,
        /// The answer; nothing if the query was not run, or not successfully.
        answer: Option<MergedAnswer>,
        /// Whether no target can have received the query.
        is_unsent: bool,
    },
    /// What a reader of the store has learned.
    StoreChanges(StoreChanges),
}
