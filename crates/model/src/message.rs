//! Messages between instances.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Answer, HttpRequest, Priority, Revision, StoreArea};

/// Identity of one process of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct InstanceId {
    /// Instance name from the settings, unique in the fleet.
    pub name: String,
    /// Incarnation number; a process with a larger number was started later.
    pub incarnation: u64,
}

/// Membership state of an instance, as seen by itself or by another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Answers digests.
    Alive,
    /// Has not answered for a while; can refute the suspicion with a higher counter.
    Suspected,
    /// Is shutting down gracefully and may still have open connections.
    Leaving,
    /// Has stopped, or was suspected for too long.
    Gone,
}

/// Newest known membership state of one instance, as carried in digests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRow {
    /// The instance.
    pub id: InstanceId,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Processor time that it may use, in thousandths of a core; 0 if unknown.
    pub capacity_millicores: u32,
    /// Counter that only the instance itself raises, to refute a suspicion.
    pub counter: u64,
    /// Membership state.
    pub state: MemberState,
    /// Whether it understands the messages about permits; false for an earlier version.
    pub understands_permits: bool,
}

/// Strikes against one request, as exchanged between instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// Strikes that count according to the sender; all that a sender of an earlier version states.
    pub strikes_count: u32,
    /// Whether the sender refuses the request.
    pub is_quarantined: bool,
    /// Time until the entry expires.
    pub remaining: Duration,
    /// The strikes known to the sender; empty if it refuses the request.
    pub strikes: Vec<StrikeUpdate>,
}

/// One strike, as exchanged between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StrikeUpdate {
    /// Unique number of the strike.
    pub id: u64,
    /// Hash of the service whose target ended.
    pub service: u64,
    /// Time since the call was sent to the target.
    pub sent_age: Duration,
    /// Time since the target is known to have ended.
    pub lost_age: Duration,
    /// Whether the service has executed the request since.
    pub is_cleared: bool,
}

/// What a target has stated about its rate limit, as exchanged between instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RateLimitUpdate {
    /// Identifier of the target.
    pub target_id: String,
    /// Requests that it takes in 1,000 seconds from all instances together; `None` if it has lifted
    /// its limit.
    pub limit_per_1000_s: Option<u64>,
    /// Time since the target stated it.
    pub heard_age: Duration,
}

/// What instances tell each other besides their view of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Observations {
    /// Entries of the quarantine.
    pub quarantine: Vec<QuarantineUpdate>,
    /// Rate limits of targets.
    pub rate_limits: Vec<RateLimitUpdate>,
}

/// Gossip message that instances send each other periodically.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: MemberRow,
    /// Number by which a reply is matched with its digest; 0 if no reply is wanted.
    pub sequence: u64,
    /// Whether the receiver should reply with a digest of its own.
    pub wants_reply: bool,
    /// Whether an earlier probe was not answered: the reply may have been lost on a dead connection
    /// of the receiver.
    pub is_repeated: bool,
    /// Highest configuration revision that the sender has accepted.
    pub revision: Revision,
    /// Version of the store's configuration that the sender has in force; 0 if there is none, or the
    /// sender is of an earlier version.
    pub version_in_force: u64,
    /// Age of the newest confirmation that the revision is current, own or relayed.
    pub freshness_age: Duration,
    /// Membership states that the sender relays in this round.
    pub members: Vec<MemberRow>,
    /// Observations that the sender relays in this round.
    pub observations: Observations,
}

/// A request forwarded to its ticket's owner, which alone may run it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Peer address of the sender, to which the answer is sent.
    pub reply_to: SocketAddr,
    /// Number that the answer repeats.
    pub forward_id: u64,
    /// Request identifier, as the caller sent it.
    pub request_id: String,
    /// Name of the front.
    pub front: String,
    /// Name of the service; `None` for every service of the front.
    pub service: Option<String>,
    /// Priority.
    pub priority: Priority,
    /// The ticket of the request.
    pub ticket: String,
    /// Time left until the caller's deadline.
    pub timeout: Duration,
    /// Body of the request, not interpreted.
    pub body: Bytes,
}

/// A query over several services that an instance relays to a larger one of the same zone, which is
/// one with at least twice its processor time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayedRequest {
    /// Peer address of the sender, to which the answer is sent.
    pub reply_to: SocketAddr,
    /// Number that the answer repeats.
    pub relay_id: u64,
    /// Version of the configuration by which the sender selected the front.
    pub version: u64,
    /// The caller's request, with the time left as its timeout.
    pub request: Arc<HttpRequest>,
    /// Time left until the front's latency goal; `None` if there is no goal or it has passed.
    pub goal: Option<Duration>,
    /// Number of targets that the relay may send each part to until the sender grants it the rest
    /// of the front's limit; `None` for all, from a sender of an earlier version.
    pub attempts_max_count: Option<u32>,
}

/// Merged results of a relayed query.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MergedAnswer {
    /// Proof tokens of the results that are merged into the body.
    pub proofs: Vec<Arc<str>>,
    /// Services whose result is not in the body.
    pub missing_count: u32,
    /// The merged records.
    pub body: Bytes,
}

/// Changes of a store area, as a watch returned them.
#[derive(Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreChanges {
    /// The area.
    pub area: StoreArea,
    /// Era of the store that both revisions belong to; 0 from a sender of an earlier version.
    pub era: u64,
    /// Revision that the changes follow.
    pub after_revision: u64,
    /// Revision up to which all changes are included.
    pub revision: u64,
    /// The store's undecoded answer; empty if nothing has changed.
    pub body: Bytes,
}

/// The answer holds callers' keys, so only its length is shown.
impl fmt::Debug for StoreChanges {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StoreChanges")
            .field("area", &self.area)
            .field("after_revision", &self.after_revision)
            .field("revision", &self.revision)
            .field("body_bytes", &self.body.len())
            .finish()
    }
}

/// Asks an issuer for permits of one organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitQuestion {
    /// Number that the answer repeats.
    pub question_id: u64,
    /// Name of the organisation.
    pub organisation: String,
    /// Permits for requests that wait.
    pub wanted_count: u32,
    /// Permits ahead of need.
    pub prefetch_count: u32,
}

/// An issuer's answer to one question.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitAnswer {
    /// Number of the question.
    pub question_id: u64,
    /// Permits for requests that wait.
    pub granted_count: u32,
    /// Permits ahead of need.
    pub prefetched_count: u32,
    /// Number under which unused prefetched permits are returned.
    pub grant_id: u64,
    /// Time until the issuer has a permit again; zero if it granted all that was wanted.
    pub wait: Duration,
    /// Whether the sender issues permits of the organisation at present.
    pub is_issuer: bool,
}

/// Returns unused prefetched permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitReturn {
    /// Number of the grant.
    pub grant_id: u64,
    /// Unused permits.
    pub unused_count: u32,
}

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Gossip of membership, revision, freshness and quarantine.
    Digest(Digest),
    /// Requests the configuration that the receiver has accepted.
    NoteWanted {
        /// Peer address of the sender, to which the note is sent.
        reply_to: SocketAddr,
        /// Lowest revision that the sender can use.
        at_least_revision: Revision,
    },
    /// The accepted configuration, as published.
    Note {
        /// Its revision.
        revision: Revision,
        /// The published document.
        body: Bytes,
    },
    /// Forwards a request to the owner of its ticket.
    Forward(ForwardedRequest),
    /// The owner's answer to a forwarded request.
    ForwardAnswer {
        /// Number of the forwarded request.
        forward_id: u64,
        /// Peer address of the sender; `None` from a sender of an earlier version.
        answered_by: Option<SocketAddr>,
        /// The answer.
        answer: Box<Answer>,
    },
    /// Relays a query to a larger instance.
    Relay(RelayedRequest),
    /// The larger instance has started the relayed query.
    RelayTaken {
        /// Number of the relayed query.
        relay_id: u64,
        /// Peer address of the sender; `None` from a sender of an earlier version.
        answered_by: Option<SocketAddr>,
    },
    /// Hands over the rest of a relayed query's attempts: the sender will run no part itself.
    RelayGranted {
        /// Peer address of the instance that relayed the query.
        reply_to: SocketAddr,
        /// Number of the relayed query.
        relay_id: u64,
    },
    /// Cancels a relayed query that is no longer needed.
    RelayCancel {
        /// Peer address of the instance that relayed the query.
        reply_to: SocketAddr,
        /// Number of the relayed query.
        relay_id: u64,
    },
    /// The larger instance's answer to a relayed query.
    RelayAnswer {
        /// Number of the relayed query.
        relay_id: u64,
        /// Peer address of the sender; `None` from a sender of an earlier version.
        answered_by: Option<SocketAddr>,
        /// The answer; `None` if the query was not run or failed.
        answer: Option<MergedAnswer>,
        /// Whether no target can have received any call of the query.
        is_unsent: bool,
        /// Whether no target has executed the query, although some may have received it.
        is_unexecuted: bool,
    },
    /// Shares changes that a reader received from the store.
    StoreChanges(StoreChanges),
    /// Asks an issuer for permits.
    PermitsWanted {
        /// Peer address of the sender, to which the answers are sent.
        reply_to: SocketAddr,
        /// At most one question for each organisation.
        questions: Vec<PermitQuestion>,
    },
    /// An issuer's answers.
    PermitsGranted {
        /// Peer address of the issuer.
        answered_by: SocketAddr,
        /// Answers to questions of one message.
        answers: Vec<PermitAnswer>,
    },
    /// Returns unused prefetched permits to their issuer.
    PermitsReturned {
        /// Peer address of the sender.
        returned_by: SocketAddr,
        /// The permits.
        returns: Vec<PermitReturn>,
    },
}
