//! Everything that the stand-ins can do.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use findings::Findings;
use model::{LoadReport, LogLine, ReplyStatus};

use crate::event::{ConnectionKey, RequestKey, TargetKey};

/// One thing for the shell to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Accept connections to a target.
    Listen {
        /// The target.
        target: TargetKey,
        /// Address of its port.
        address: SocketAddr,
    },
    /// Close the port of a target and every connection to it.
    CloseTarget {
        /// The target.
        target: TargetKey,
    },
    /// Serve a connection after the time that its opening costs.
    ServeConnection {
        /// The connection.
        connection: ConnectionKey,
        /// The time that its opening costs.
        delay: Duration,
    },
    /// Close a connection.
    CloseConnection {
        /// The connection.
        connection: ConnectionKey,
    },
    /// Deliver an event after a delay.
    StartTimer {
        /// The event.
        timer: Timer,
        /// The delay.
        delay: Duration,
    },
    /// Reply to a request.
    Reply {
        /// The request.
        request: RequestKey,
        /// The reply.
        reply: Reply,
    },
    /// Close a request without any reply.
    DropRequest {
        /// The request.
        request: RequestKey,
    },
    /// Write one line to the log.
    Log(LogLine),
}

/// What a delay ends with.
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
    /// A value of the platform.
    Value {
        /// Version of the value.
        version: u64,
        /// The value.
        body: Bytes,
    },
    /// A report in JSON.
    Report(String),
    /// The request was carried out.
    Done,
    /// There is nothing of that name.
    NotFound,
    /// The request has faults.
    Invalid(Findings),
    /// The platform's rate limit is exceeded.
    RateLimited,
    /// The platform is down.
    Unavailable,
}

/// A target's reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReply {
    /// What happened.
    pub status: ReplyStatus,
    /// Snapshot that was read.
    pub snapshot: u64,
    /// The target's load.
    pub load: LoadReport,
    /// The result.
    pub body: Bytes,
}
