//! Inputs of the reducer.

use std::time::Duration;

use slotmap::new_key_type;

new_key_type! {
    /// An HTTP request that has not been answered yet.
    pub struct RequestKey;

    /// A connection to a target.
    pub struct ConnectionKey;

    /// A target.
    pub struct TargetKey;
}

/// A call as a target receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallView<'a> {
    /// Identifier of the call: `instance:incarnation:number`.
    pub call_id: &'a str,
    /// Identifier of the caller's request.
    pub request_id: &'a str,
    /// Snapshot to read; absent if the caller does not ask for a particular one.
    pub snapshot: Option<u64>,
    /// Time until the call's deadline; absent if it has none.
    pub timeout: Option<Duration>,
    /// Whether the call may be executed more than once.
    pub is_idempotent: bool,
    /// The query.
    pub body: &'a [u8],
}

/// An input of the reducer.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The process has started; always the first event.
    Started,
    /// A client connected to a target.
    ConnectionOpened {
        /// The connection.
        connection: ConnectionKey,
        /// The target.
        target: TargetKey,
    },
    /// A connection to a target has ended and is no longer served.
    ConnectionClosed {
        /// The connection.
        connection: ConnectionKey,
    },
    /// A call arrived at a target.
    CallReceived {
        /// Request to reply to.
        request: RequestKey,
        /// The target.
        target: TargetKey,
        /// The call.
        call: CallView<'a>,
    },
    /// An instance asked a target to cancel a call.
    CancelRequested {
        /// Request to reply to.
        request: RequestKey,
        /// The target.
        target: TargetKey,
        /// Identifier of the call.
        call_id: &'a str,
    },
    /// An instance asked for a target's load report.
    LoadRequested {
        /// Request to reply to.
        request: RequestKey,
        /// The target.
        target: TargetKey,
    },
    /// The execution time of a call has elapsed.
    ExecutionFinished {
        /// Request that carries the call.
        request: RequestKey,
    },
    /// The restart delay of a crashed target has elapsed.
    RestartDue {
        /// The target.
        target: TargetKey,
    },
    /// A reader watches the published configuration (long poll).
    WatchRequested {
        /// Request to reply to.
        request: RequestKey,
        /// Name of the reader.
        reader: &'a str,
        /// Version that the reader has; only a newer one is returned before the wait ends.
        after_version: u64,
        /// Time after which the current version is returned, even if it is not newer.
        wait: Duration,
    },
    /// The wait of a watch has elapsed.
    WatchExpired {
        /// Request that carries the watch.
        request: RequestKey,
    },
    /// A reader asked for the list of instances.
    InstancesRequested {
        /// Request to reply to.
        request: RequestKey,
        /// Name of the reader.
        reader: &'a str,
    },
    /// The publication lag of the oldest pending list of instances has elapsed.
    InstancesLagElapsed,
    /// A command arrived on the control port.
    CommandReceived {
        /// Request to reply to.
        request: RequestKey,
        /// The command.
        command: ControlCommand<'a>,
    },
}

/// A command on the control port.
#[derive(Clone, Copy, Debug)]
pub enum ControlCommand<'a> {
    /// Publish a configuration, valid or not, as the newest version.
    PublishNote {
        /// The value.
        body: &'a [u8],
    },
    /// Publish a list of instances; readers see it after the publication lag.
    PublishInstances {
        /// The list.
        body: &'a [u8],
    },
    /// Change the platform's behaviour.
    UpdatePlatform {
        /// The changed fields in JSON.
        body: &'a [u8],
    },
    /// Change the behaviour of targets.
    UpdateTarget {
        /// Name of a target, a service or an availability zone, or `all`.
        target: &'a str,
        /// The changed fields in JSON.
        body: &'a [u8],
    },
    /// Crash targets.
    Crash {
        /// Name of a target, a service or an availability zone, or `all`.
        target: &'a str,
    },
    /// Report the platform's behaviour, versions and read counts.
    Platform,
    /// Report the behaviour, load and counts of every target.
    Targets,
    /// Report every execution of a non-idempotent call.
    Ledger,
}
