//! Outputs of the reducer.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use findings::Findings;
use model::{LoadReport, LogLine, ReplyStatus};

use crate::event::{ConnectionKey, RequestKey, TargetKey};

/// An action that the shell executes.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Open the port of a target; the shell retries until it can be bound.
    Listen {
        /// The target.
        target: TargetKey,
        /// Address to bind.
        address: SocketAddr,
    },
    /// Close the port of a target and abort all connections to it.
    CloseTarget {
        /// The target.
        target: TargetKey,
    },
    /// Serve a connection after a delay that simulates the cost of connecting.
    ServeConnection {
        /// The connection.
        connection: ConnectionKey,
        /// Time before the first request is read.
        delay: Duration,
    },
    /// Close a connection instead of serving it.
    CloseConnection {
        /// The connection.
        connection: ConnectionKey,
    },
    /// Start a timer; its event is delivered when it expires.
    StartTimer {
        /// The timer.
        timer: Timer,
        /// Time until it expires; zero delivers the event at once.
        delay: Duration,
    },
    /// Reply to a request.
    Reply {
        /// The request.
        request: RequestKey,
        /// The reply.
        reply: Reply,
    },
    /// Discard a request without a reply.
    ///
    /// If its connection is still served, the HTTP layer responds with status 503 and closes it.
    DropRequest {
        /// The request.
        request: RequestKey,
    },
    /// Write a line to the log.
    Log(LogLine),
}

/// A timer; each variant names the event that it delivers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// [`crate::event::Event::ExecutionFinished`]
    Execution(RequestKey),
    /// [`crate::event::Event::WatchExpired`]
    Watch(RequestKey),
    /// [`crate::event::Event::RestartDue`]
    Restart(TargetKey),
    /// [`crate::event::Event::InstancesLagElapsed`]
    InstancesLag,
}

/// The reply to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A target's reply to a call.
    Call(CallReply),
    /// A target's load report.
    Load(LoadReport),
    /// A configuration or list of instances that the platform serves.
    Value {
        /// Version of the value.
        version: u64,
        /// The value.
        body: Bytes,
    },
    /// A report in JSON.
    Report(String),
    /// The request was executed and returns no data.
    Done,
    /// No target matches the name.
    NotFound,
    /// The request body is invalid.
    Invalid(Findings),
    /// The platform's rate limit is exceeded.
    RateLimited,
    /// The platform simulates an outage in which it refuses requests.
    Unavailable,
}

/// A target's reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReply {
    /// Whether the call was executed, and if not, why.
    pub status: ReplyStatus,
    /// Snapshot that was read; the newest served one if the call was not executed.
    pub snapshot: u64,
    /// The target's load after the call.
    pub load: LoadReport,
    /// The result; empty if the call was not executed to completion.
    pub body: Bytes,
}
