//! Everything that can happen to the stand-ins.

use std::time::Duration;

use slotmap::new_key_type;

new_key_type! {
    /// A request whose reply is awaited.
    pub struct RequestKey;

    /// A connection to a target.
    pub struct ConnectionKey;

    /// A target.
    pub struct TargetKey;
}

/// A call as a target receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallView<'a> {
    /// Number of the call: the instance's name, its incarnation and a number.
    pub call_id: &'a str,
    /// Identifier of the caller's request.
    pub request_id: &'a str,
    /// Snapshot that the call reads, if it reads one.
    pub snapshot: Option<u64>,
    /// Time that the call may take.
    pub timeout: Option<Duration>,
    /// Whether the target may see the call more than once.
    pub is_idempotent: bool,
    /// The query.
    pub body: &'a [u8],
}

/// One thing that happened.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The process has started; always the first event.
    Started,
    /// Somebody connected to a target.
    ConnectionOpened {
        /// The connection.
        connection: ConnectionKey,
        /// The target.
        target: TargetKey,
    },
    /// A connection was closed by the other side.
    ConnectionClosed {
        /// The connection.
        connection: ConnectionKey,
    },
    /// A call arrived at a target.
    CallReceived {
        /// Where the reply goes.
        request: RequestKey,
        /// The target.
        target: TargetKey,
        /// The call.
        call: CallView<'a>,
    },
    /// A call is no longer wanted.
    CancelRequested {
        /// Where the reply goes.
        request: RequestKey,
        /// The target.
        target: TargetKey,
        /// Number of the call.
        call_id: &'a str,
    },
    /// A target's load report is wanted.
    LoadRequested {
        /// Where the reply goes.
        request: RequestKey,
        /// The target.
        target: TargetKey,
    },
    /// A call's execution time has passed.
    ExecutionFinished {
        /// The call.
        request: RequestKey,
    },
    /// A target's restart delay has passed.
    RestartDue {
        /// The target.
        target: TargetKey,
    },
    /// The published configuration is wanted as soon as it is newer than a version.
    WatchRequested {
        /// Where the reply goes.
        request: RequestKey,
        /// Name of the reader.
        reader: &'a str,
        /// Version that the reader has.
        after_version: u64,
        /// Longest time to wait.
        wait: Duration,
    },
    /// A watch has waited long enough.
    WatchExpired {
        /// The watch.
        request: RequestKey,
    },
    /// The list of instances is wanted.
    InstancesRequested {
        /// Where the reply goes.
        request: RequestKey,
        /// Name of the reader.
        reader: &'a str,
    },
    /// The oldest list of instances that waits for the lag becomes visible.
    InstancesLagElapsed,
    /// A person or a test steers the stand-ins.
    CommandReceived {
        /// Where the reply goes.
        request: RequestKey,
        /// What is wanted.
        command: ControlCommand<'a>,
    },
}

/// A command on the control port.
#[derive(Clone, Copy, Debug)]
pub enum ControlCommand<'a> {
    /// Publish a configuration.
    PublishNote {
        /// The value.
        body: &'a [u8],
    },
    /// Publish a list of instances.
    PublishInstances {
        /// The list.
        body: &'a [u8],
    },
    /// Change how the platform behaves.
    UpdatePlatform {
        /// The changed fields in JSON.
        body: &'a [u8],
    },
    /// Change how a target behaves.
    UpdateTarget {
        /// Name of the target.
        target: &'a str,
        /// The changed fields in JSON.
        body: &'a [u8],
    },
    /// Make a target crash.
    Crash {
        /// Name of the target.
        target: &'a str,
    },
    /// Report the platform's state.
    Platform,
    /// Report every target.
    Targets,
    /// Report every execution of a call that must run at most once.
    Ledger,
}
