//! Events: the input that the shell passes to the reducer.

use std::{borrow::Cow, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    AttemptKey, CallKey, CallerKey, Header, HttpRequest, LoadReport, Message, RequestView,
    Snapshot, StoreArea, StoreBody, StoreFailure, StoreRead, StoreRecord, TargetKey, TargetReport,
    Timer,
};

/// Status of a call or an attempt, as the target reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplyStatus {
    /// The call was executed and the body is its complete result.
    Done,
    /// The call was executed and failed; a retry would fail again.
    Failed,
    /// The reply has the form of a refusal, but the target does not confirm that it has not executed
    /// the call.
    UnconfirmedRefusal,
    /// The call was not executed because the target is overloaded.
    Shed,
    /// The call was not executed because the target does not serve the requested snapshot.
    WrongSnapshot,
    /// The call was not executed because the target is shutting down.
    Draining,
    /// The call was not executed because the address now belongs to another target.
    Misdirected,
    /// The call was not executed because its deadline had passed.
    DeadlinePassed,
    /// The call was cancelled before execution began.
    CancelledUnrun,
    /// The call was cancelled during execution and may have had side effects.
    CancelledRunning,
}

impl ReplyStatus {
    /// Returns whether the target confirms that it executed the call to completion.
    pub fn is_executed(self) -> bool {
        matches!(self, ReplyStatus::Done | ReplyStatus::Failed)
    }

    /// Returns whether the target confirms that it has not executed the call and never will.
    pub fn is_confirmed_unexecuted(self) -> bool {
        match self {
            ReplyStatus::Shed
            | ReplyStatus::WrongSnapshot
            | ReplyStatus::Draining
            | ReplyStatus::Misdirected
            | ReplyStatus::DeadlinePassed
            | ReplyStatus::CancelledUnrun => true,
            ReplyStatus::Done
            | ReplyStatus::Failed
            | ReplyStatus::UnconfirmedRefusal
            | ReplyStatus::CancelledRunning => false,
        }
    }
}

/// A target's complete reply to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplyView<'a> {
    /// Status that the target reports.
    pub status: ReplyStatus,
    /// Snapshot that the result was read from.
    pub snapshot: Snapshot,
    /// The result.
    pub body: &'a [u8],
    /// Load report attached to the reply, if there is one.
    pub load: Option<LoadReport>,
}

/// A target's complete reply to one attempt.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptReply<'a> {
    /// Status that the target reports.
    pub status: ReplyStatus,
    /// HTTP status code.
    pub code: u16,
    /// Token by which the target proves that the reply is its own.
    pub proof: Option<&'a str>,
    /// End-to-end headers; hop-by-hop headers are removed.
    #[serde(borrow)]
    pub headers: Cow<'a, [Header]>,
    /// The complete body.
    pub body: Bytes,
    /// What the target states about itself.
    pub report: TargetReport,
}

/// How a call or an attempt ended without a complete reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallFailure {
    /// No connection could be opened, so no byte was sent.
    ConnectRefused,
    /// The call was cancelled before it was assigned a connection, so no byte was sent.
    NotSent,
    /// The connection was lost before the first byte of a reply.
    ConnectionLost,
    /// The connection was lost, or the reply was malformed, after its first byte.
    Truncated,
}

impl CallFailure {
    /// Returns whether any byte of the call may have reached the target.
    pub fn may_have_reached_target(self) -> bool {
        match self {
            CallFailure::ConnectRefused | CallFailure::NotSent => false,
            CallFailure::ConnectionLost | CallFailure::Truncated => true,
        }
    }
}

/// Why a read of the platform failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformFailure {
    /// The platform could not be reached or answered with an error.
    Unreachable,
    /// The platform's rate limit was exceeded.
    RateLimited,
}

/// One input of the reducer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Event<'a> {
    /// The process has started; always the first event.
    Started,
    /// A caller sent a request.
    Request {
        /// Key under which the answer is returned.
        caller: CallerKey,
        /// The decoded request.
        #[serde(borrow)]
        request: RequestView<'a>,
    },
    /// A caller requested tickets for at-most-once requests.
    TicketsRequested {
        /// Key under which the tickets are returned.
        caller: CallerKey,
        /// Number of tickets requested.
        count: u32,
    },
    /// A caller closed its connection before it was answered.
    CallerGone {
        /// The caller.
        caller: CallerKey,
    },
    /// A target's complete reply to a call arrived.
    Reply {
        /// The call that was answered.
        call: CallKey,
        /// The decoded reply.
        #[serde(borrow)]
        reply: ReplyView<'a>,
    },
    /// A call ended without a complete reply.
    CallFailed {
        /// The call.
        call: CallKey,
        /// Why it failed.
        failure: CallFailure,
    },
    /// A target answered a load probe.
    Load {
        /// The target.
        target: TargetKey,
        /// Load report of the target.
        report: LoadReport,
    },
    /// A load probe failed.
    LoadFailed {
        /// The target.
        target: TargetKey,
        /// Why the probe failed.
        failure: CallFailure,
    },
    /// A timer that the reducer set has fired.
    Timer(Timer),
    /// Another instance sent a message.
    Peer {
        /// The decoded message.
        message: Cow<'a, Message>,
    },
    /// A message to another instance could not be delivered.
    PeerUnreachable {
        /// Peer address of the other instance.
        address: std::net::SocketAddr,
    },
    /// The platform returned the published configuration.
    PlatformNote {
        /// The platform's version of the value, after which the next watch waits for changes.
        version: u64,
        /// The value as published, not yet parsed.
        body: &'a [u8],
    },
    /// The platform returned the list of instances.
    PlatformInstances {
        /// The list as published, not yet parsed.
        body: &'a [u8],
    },
    /// A read of the platform failed.
    PlatformFailed {
        /// The read that failed.
        read: crate::PlatformRead,
        /// Why it failed.
        failure: PlatformFailure,
    },
    /// A caller of the gateway sent a request.
    HttpRequest {
        /// Key under which the response is returned.
        caller: CallerKey,
        /// The request, shared by all attempts.
        request: Arc<HttpRequest>,
    },
    /// A target's complete reply to an attempt arrived.
    AttemptReplied {
        /// The attempt that was answered.
        attempt: AttemptKey,
        /// The decoded reply.
        #[serde(borrow)]
        reply: AttemptReply<'a>,
    },
    /// An attempt ended without a complete reply.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptKey,
        /// Why it failed.
        failure: CallFailure,
    },
    /// The store answered a read.
    StoreAnswered {
        /// The read.
        read: StoreRead,
        /// Era of the store; rises with each restore of the store from a copy, 0 if not stated.
        era: u64,
        /// Items of the page, or changes in revision order.
        records: Cow<'a, [StoreRecord]>,
        /// Of a watch, the revision up to which all changes are included; of a page, the revision
        /// of the store.
        revision: u64,
        /// Whether the store may hold changes after that revision.
        is_behind: bool,
        /// Key after which the next page begins; `None` on the last page.
        next_page: Option<String>,
        /// The undecoded answer, for other instances.
        published: StoreBody,
    },
    /// Another instance shared changes that it read from the store.
    SharedStoreChanges {
        /// The area.
        area: StoreArea,
        /// Era of the store that both revisions belong to.
        era: u64,
        /// Revision that the changes follow.
        after_revision: u64,
        /// Revision up to which all changes are included.
        revision: u64,
        /// The changes in revision order.
        records: Cow<'a, [StoreRecord]>,
    },
    /// A read of the store failed.
    StoreFailed {
        /// The read that failed.
        read: StoreRead,
        /// Why it failed.
        failure: StoreFailure,
        /// Era of the store that the response states; 0 if there is none.
        era: u64,
    },
    /// The settings file was read again.
    SettingsRead {
        /// Contents of the file, not yet parsed.
        document: &'a str,
    },
    /// An operator or the host requested a graceful shutdown.
    ShutdownRequested,
}
