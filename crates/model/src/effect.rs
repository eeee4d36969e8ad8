//! Everything that an instance can do.

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
    /// Key that the reply or the failure repeats.
    pub call: CallKey,
    /// The target.
    pub target: TargetKey,
    /// The target's address.
    pub address: SocketAddr,
    /// Identifier of the caller's request, for the target's logs.
    pub request_id: Arc<str>,
    /// Snapshot to read from; `None` for a call that runs once and reads the current state.
    pub snapshot: Option<Snapshot>,
    /// Time that the target may take.
    pub timeout: Duration,
    /// Whether the target may see the call more than once.
    pub is_idempotent: bool,
    /// Opaque query.
    pub body: Bytes,
}

/// A read of the platform's configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformRead {
    /// Wait until the published configuration is newer than a version, then return it.
    WatchNote {
        /// Version of the last value seen, or 0.
        after_version: u64,
    },
    /// Return the list of instances.
    Instances,
}

/// Counters that the shell exports as metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Counter {
    /// Requests that callers sent.
    Requests,
    /// Answers with full coverage.
    CompleteAnswers,
    /// Answers with some services missing.
    PartialAnswers,
    /// Requests refused without running.
    Refusals,
    /// Requests that were sent to a target and ended without its reply, or with its failure.
    FailedAnswers,
    /// First calls to a service on behalf of a query.
    PrimaryCalls,
    /// Calls sent because another one is late.
    HedgeCalls,
    /// Calls sent because another one failed.
    RetryCalls,
    /// Replies that belong to no running call.
    StaleReplies,
    /// Cancellations sent to targets.
    Cancels,
    /// Queries restarted on another snapshot.
    SnapshotRestarts,
    /// Messages sent to other instances.
    PeerMessages,
    /// Reads of the platform.
    PlatformReads,
    /// Published configurations that were not accepted.
    RejectedNotes,
    /// Pauses of the process that the reducer noticed.
    Pauses,
}

/// Times that the shell exports as histograms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Timing {
    /// From the arrival of a caller's request to its response.
    Request,
    /// From the sending of a request to a target to its whole reply.
    Attempt,
}

/// One thing for the shell to do.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Effect {
    /// Send a call to a target.
    Call(TargetCall),
    /// Tell a target that a call is no longer wanted.
    Cancel {
        /// The call.
        call: CallKey,
        /// The target that executes it.
        target: TargetKey,
    },
    /// Drop the connection of a cancelled call that does not end; it then ends as a failed call.
    Abandon {
        /// The call.
        call: CallKey,
        /// The target that does not reply.
        target: TargetKey,
    },
    /// Answer a caller.
    Answer {
        /// The caller.
        caller: CallerKey,
        /// The answer.
        answer: Box<Answer>,
    },
    /// Hand tickets to a caller; an empty list is a refusal.
    Tickets {
        /// The caller.
        caller: CallerKey,
        /// The tickets.
        tickets: Vec<String>,
    },
    /// Keep at most this many connections to a target; 0 closes them once they are idle.
    Pool {
        /// The target.
        target: TargetKey,
        /// The target's address.
        address: SocketAddr,
        /// Limit of connections, idle ones included.
        connections_count: u32,
    },
    /// Ask a target for its load report over this many connections at once, which opens them.
    AskLoad {
        /// The target.
        target: TargetKey,
        /// Number of connections to use.
        connections_count: u32,
    },
    /// Send a message to another instance.
    Send {
        /// Address of the other instance's peers' port.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Send further messages to another instance on a new connection; the present one may be dead.
    Reconnect {
        /// Address of the other instance's peers' port.
        address: SocketAddr,
    },
    /// Read from the platform.
    ReadPlatform(PlatformRead),
    /// Send a caller's request to a target.
    Attempt(AttemptCall),
    /// Drop the connection of an attempt; no event follows for it.
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
        /// The caller.
        caller: CallerKey,
        /// The response.
        response: Box<HttpResponse>,
    },
    /// Read from the store.
    ReadStore(StoreRead),
    /// Deliver a timer event after a delay.
    SetTimer {
        /// The event's content.
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
    /// Add a time to a histogram.
    Time {
        /// The histogram.
        timing: Timing,
        /// The time.
        took: Duration,
    },
    /// End the process with exit code 0; everything is answered.
    Exit,
}
