//! Everything that can happen to an instance.

use std::{borrow::Cow, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    AttemptKey, CallKey, CallerKey, Header, HttpRequest, LoadReport, Message, Record, RequestView,
    SlotLoad, Snapshot, StoreArea, StoreFailure, StoreRead, TargetKey, Timer,
};

/// What a target said about one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplyStatus {
    /// The call was executed and the body is its whole result.
    Done,
    /// The call was executed and failed in a way that another attempt would not change.
    Failed,
    /// The call was not executed because the target is overloaded.
    Shed,
    /// The call was not executed because the target does not serve its snapshot.
    WrongSnapshot,
    /// The call was not executed because the target is shutting down.
    Draining,
    /// The call was not executed because another target has the address.
    Misdirected,
    /// The call was not executed because its deadline had passed.
    DeadlinePassed,
    /// The call was cancelled before execution began.
    CancelledUnrun,
    /// The call was cancelled while it was executing; effects are possible.
    CancelledRunning,
}

impl ReplyStatus {
    /// Tells whether the target vouches that it executed the call to its end.
    pub fn is_run(self) -> bool {
        matches!(self, ReplyStatus::Done | ReplyStatus::Failed)
    }

    /// Tells whether the target vouches that it has not executed the call and will not.
    pub fn is_not_run(self) -> bool {
        match self {
            ReplyStatus::Shed
            | ReplyStatus::WrongSnapshot
            | ReplyStatus::Draining
            | ReplyStatus::Misdirected
            | ReplyStatus::DeadlinePassed
            | ReplyStatus::CancelledUnrun => true,
            ReplyStatus::Done | ReplyStatus::Failed | ReplyStatus::CancelledRunning => false,
        }
    }
}

/// A target's whole reply to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplyView<'a> {
    /// What the target says happened.
    pub status: ReplyStatus,
    /// Snapshot that the result was read from.
    pub snapshot: Snapshot,
    /// The result.
    pub body: &'a [u8],
    /// The load report that came with the reply, if the target attaches one.
    pub load: Option<LoadReport>,
}

/// A target's whole reply to one attempt.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptReply<'a> {
    /// What the target says happened.
    pub status: ReplyStatus,
    /// HTTP status.
    pub code: u16,
    /// The target's proof that it made the reply.
    pub proof: Option<&'a str>,
    /// Headers that do not concern a single connection.
    #[serde(borrow)]
    pub headers: Cow<'a, [Header]>,
    /// The whole body.
    pub body: Bytes,
    /// Load, if the target states it.
    pub load: Option<SlotLoad>,
}

/// How a call ended without a whole reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallFailure {
    /// No connection could be opened, so no byte of the call was sent.
    ConnectRefused,
    /// The call was withdrawn before a connection was assigned to it, so no byte was sent.
    NotSent,
    /// The connection was lost before the first byte of a reply.
    ConnectionLost,
    /// The connection was lost, or the reply was malformed, after its first byte.
    Truncated,
}

impl CallFailure {
    /// Tells whether any byte of the call may have reached the target.
    pub fn may_have_reached_target(self) -> bool {
        match self {
            CallFailure::ConnectRefused | CallFailure::NotSent => false,
            CallFailure::ConnectionLost | CallFailure::Truncated => true,
        }
    }
}

/// Why the platform gave no value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformFailure {
    /// The platform could not be reached or answered with an error.
    Unreachable,
    /// The platform refused the read because of its rate limit.
    RateLimited,
}

/// One thing that happened to the instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Event<'a> {
    /// The process has started; always the first event.
    Started,
    /// A caller sent a request.
    Request {
        /// Where the answer goes.
        caller: CallerKey,
        /// The decoded request.
        #[serde(borrow)]
        request: RequestView<'a>,
    },
    /// A caller asked for tickets for requests that run once.
    TicketsWanted {
        /// Where the tickets go.
        caller: CallerKey,
        /// How many tickets are wanted.
        count: u32,
    },
    /// A caller closed its connection before the answer.
    CallerGone {
        /// The caller.
        caller: CallerKey,
    },
    /// A target's whole reply arrived.
    Reply {
        /// The call that it answers.
        call: CallKey,
        /// The decoded reply.
        #[serde(borrow)]
        reply: ReplyView<'a>,
    },
    /// A call ended without a whole reply.
    CallFailed {
        /// The call.
        call: CallKey,
        /// How it ended.
        failure: CallFailure,
    },
    /// A target answered a load probe.
    Load {
        /// The target.
        target: TargetKey,
        /// Its report.
        report: LoadReport,
    },
    /// A load probe got no answer.
    LoadFailed {
        /// The target.
        target: TargetKey,
        /// How the probe ended.
        failure: CallFailure,
    },
    /// A timer that the reducer had set is due.
    Timer(Timer),
    /// Another instance sent a message.
    Peer {
        /// The decoded message.
        message: Cow<'a, Message>,
    },
    /// A message to another instance could not be delivered.
    PeerUnreachable {
        /// Address of the other instance's peers' port.
        address: std::net::SocketAddr,
    },
    /// The platform returned the published configuration.
    PlatformNote {
        /// The platform's version counter of the value, used to watch for the next one.
        version: u64,
        /// The value as published, not yet parsed.
        body: &'a [u8],
    },
    /// The platform returned its list of instances.
    PlatformInstances {
        /// The list as published, not yet parsed.
        body: &'a [u8],
    },
    /// A read of the platform failed.
    PlatformFailed {
        /// The read that failed.
        read: crate::PlatformRead,
        /// Why.
        failure: PlatformFailure,
    },
    /// A caller of the gateway sent a request.
    HttpRequest {
        /// Where the response goes.
        caller: CallerKey,
        /// The request, which every attempt shares.
        request: Arc<HttpRequest>,
    },
    /// A target's whole reply to an attempt arrived.
    AttemptReplied {
        /// The attempt that it answers.
        attempt: AttemptKey,
        /// The decoded reply.
        #[serde(borrow)]
        reply: AttemptReply<'a>,
    },
    /// An attempt ended without a whole reply.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptKey,
        /// How it ended.
        failure: CallFailure,
    },
    /// The store answered a read.
    StoreAnswered {
        /// The read.
        read: StoreRead,
        /// Items of the page, or changes in their order.
        records: Cow<'a, [Record]>,
        /// Revision up to which all changes are included; of a page, that of the store.
        revision: u64,
        /// Whether the store may hold changes beyond that revision.
        is_behind: bool,
        /// Key after which the next page begins, if there is one.
        next_page: Option<String>,
        /// The answer as published.
        published: Bytes,
    },
    /// Another instance told what it has learned from the store.
    StoreShared {
        /// The area.
        area: StoreArea,
        /// Revision after which the changes come.
        after_revision: u64,
        /// Revision up to which all changes are included.
        revision: u64,
        /// The changes in their order.
        records: Cow<'a, [Record]>,
    },
    /// A read of the store failed.
    StoreFailed {
        /// The read that failed.
        read: StoreRead,
        /// Why.
        failure: StoreFailure,
    },
    /// The settings file was read again.
    SettingsRead {
        /// The file as it is, not yet parsed.
        document: &'a str,
    },
    /// The operator or the machine asked the process to shut down.
    Leave,
}
