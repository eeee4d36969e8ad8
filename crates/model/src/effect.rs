//! Effects: the I/O that the reducer asks the shell to perform.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    Answer, AttemptCall, AttemptKey, CallKey, CallerKey, HttpResponse, LogLine, Message, Snapshot,
    StoreRead, TargetKey, Timer,
};

/// One call to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetCall {
    /// Key by which the reply or failure event refers to the call.
    pub call: CallKey,
    /// The target.
    pub target: TargetKey,
    /// Address of the target.
    pub address: SocketAddr,
    /// Request identifier of the caller, for the target's logs.
    pub request_id: Arc<str>,
    /// Snapshot to read from; `None` for an at-most-once call, which uses the current state.
    pub snapshot: Option<Snapshot>,
    /// Time left until the deadline of the call.
    pub timeout: Duration,
    /// Whether executing the request more than once is harmless.
    pub is_idempotent: bool,
    /// Body of the request, not interpreted.
    pub body: Bytes,
}

/// A request to the platform's configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformRead {
    /// Long poll: return the published configuration once it is newer than a version.
    WatchNote {
        /// Version of the last value received, or 0.
        after_version: u64,
    },
    /// Return the list of instances.
    Instances,
}

/// Counters that the shell exports as metrics, named after the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Counter {
    /// Requests received from callers.
    Requests,
    /// Answers with full coverage.
    CompleteAnswers,
    /// Answers with some services missing.
    PartialAnswers,
    /// Requests refused without running.
    Refusals,
    /// Requests that were sent to a target and ended with a failure or without a reply.
    FailedAnswers,
    /// First call of a query to each service.
    PrimaryCalls,
    /// Hedged calls, sent because an earlier call is slow.
    HedgeCalls,
    /// Calls sent because an earlier call failed.
    RetryCalls,
    /// Replies to calls that are no longer in flight.
    StaleReplies,
    /// Cancellations sent to targets.
    Cancels,
    /// Queries restarted on another snapshot.
    SnapshotRestarts,
    /// Messages sent to other instances.
    PeerMessages,
    /// Requests to the platform.
    PlatformReads,
    /// Published configurations rejected because of findings.
    RejectedNotes,
    /// Pauses of the process, detected by late ticks.
    Pauses,
    /// Strikes recorded by this instance against requests whose targets were lost.
    Strikes,
    /// Requests whose strikes this instance cleared because a target executed them.
    StrikesCleared,
    /// Requests refused because they are quarantined.
    QuarantineRefusals,
    /// Items and messages from outside that were refused because they could not be read or were out
    /// of range.
    RefusedInputs,
    /// Requests refused because they carry no valid key of an organisation.
    UnauthenticatedRequests,
    /// Parts that were not sent to any target because of the rate limits that targets name.
    RateLimitedParts,
    /// Requests refused because their organisation has used up its cap.
    OverCapRefusals,
    /// Requests refused because issuers of permits could not be reached.
    NoPermitIssuerRefusals,
}

/// Durations that the shell exports as histograms, named after the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Timing {
    /// From the arrival of a caller's request to its response.
    Request,
    /// From the sending of a request to a target to its complete reply.
    Attempt,
}

/// One action for the shell to perform.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Effect {
    /// Send a call to a target.
    Call(TargetCall),
    /// Send a cancellation for a call to its target.
    Cancel {
        /// The call.
        call: CallKey,
        /// The target that received the call.
        target: TargetKey,
    },
    /// Close the connection of a cancelled call that does not end; a call failure event follows.
    DropCall {
        /// The call.
        call: CallKey,
        /// The target that received the call.
        target: TargetKey,
    },
    /// Answer a caller.
    Answer {
        /// Who receives it.
        caller: CallerKey,
        /// The answer.
        answer: Box<Answer>,
    },
    /// Return tickets to a caller; an empty list is a refusal.
    Tickets {
        /// Who receives it.
        caller: CallerKey,
        /// The tickets.
        tickets: Vec<String>,
    },
    /// Limit the connection pool of a target; 0 closes its connections once they are idle.
    ResizePool {
        /// The target.
        target: TargetKey,
        /// Address of the target.
        address: SocketAddr,
        /// Maximum number of connections, idle ones included.
        connections_count: u32,
    },
    /// Probe a target's load over several connections at once, which also opens them.
    ProbeLoad {
        /// The target.
        target: TargetKey,
        /// Number of concurrent probes, each over its own connection.
        connections_count: u32,
    },
    /// Send a message to another instance.
    Send {
        /// Peer address of the other instance.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Replace the connection to another instance, because the present one may be dead.
    Reconnect {
        /// Peer address of the other instance.
        address: SocketAddr,
    },
    /// Send a request to the platform's configuration service.
    ReadPlatform(PlatformRead),
    /// Proxy a gateway caller's request to a target.
    Attempt(AttemptCall),
    /// Close the connection of an attempt; no event follows for it.
    DropAttempt {
        /// The attempt.
        attempt: AttemptKey,
        /// The target.
        target: TargetKey,
    },
    /// Close the idle connections to a target that is no longer used.
    Disconnect {
        /// The target.
        target: TargetKey,
    },
    /// Respond to a caller of the gateway.
    Respond {
        /// Who receives it.
        caller: CallerKey,
        /// The response.
        response: Box<HttpResponse>,
    },
    /// List or watch an area of the metadata store.
    ReadStore {
        /// The read.
        read: StoreRead,
        /// Time after which it fails without an answer.
        timeout: Duration,
    },
    /// Deliver a timer event after a delay.
    SetTimer {
        /// The timer, which the event repeats.
        timer: Timer,
        /// The delay.
        after: Duration,
    },
    /// Write one line to the log.
    Log(LogLine),
    /// Add to a counter.
    Count {
        /// The counter.
        counter: Counter,
        /// The amount.
        amount_count: u64,
    },
    /// Record a duration in a histogram.
    RecordTiming {
        /// The histogram.
        timing: Timing,
        /// The duration.
        took: Duration,
    },
    /// Exit the process with code 0; all requests have been answered.
    Exit,
}
