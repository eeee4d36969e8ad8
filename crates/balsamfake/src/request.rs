//! HTTP requests in owned form, as messages to the shell.
//!
//! The reducer sees them as borrowed [`Event`]s.

use std::time::Duration;

use bytes::Bytes;

use crate::event::{CallView, ControlCommand, Event, RequestKey, TargetKey};

/// An HTTP request.
#[derive(Clone, Debug)]
pub enum OwnedRequest {
    /// A call to a target.
    Call {
        /// The target.
        target: TargetKey,
        /// The call.
        call: OwnedCall,
    },
    /// A request to cancel a call.
    Cancel {
        /// The target.
        target: TargetKey,
        /// Identifier of the call.
        call_id: String,
    },
    /// A request for a target's load report.
    Load {
        /// The target.
        target: TargetKey,
    },
    /// A watch on the published configuration.
    Watch {
        /// Name of the reader.
        reader: String,
        /// Version that the reader has; only a newer one is returned before the wait ends.
        after_version: u64,
        /// Time after which the current version is returned, even if it is not newer.
        wait: Duration,
    },
    /// A read of the list of instances.
    Instances {
        /// Name of the reader.
        reader: String,
    },
    /// A command on the control port.
    Command(OwnedCommand),
}

/// A call to a target.
#[derive(Clone, Debug)]
pub struct OwnedCall {
    /// Identifier of the call.
    pub call_id: String,
    /// Identifier of the caller's request.
    pub request_id: String,
    /// Snapshot to read; absent if the caller does not ask for a particular one.
    pub snapshot: Option<u64>,
    /// Time until the call's deadline; absent if it has none.
    pub timeout: Option<Duration>,
    /// Whether the call may be executed more than once.
    pub is_idempotent: bool,
    /// The query.
    pub body: Bytes,
}

/// A command on the control port.
#[derive(Clone, Debug)]
pub enum OwnedCommand {
    /// [`ControlCommand::PublishNote`]
    PublishNote {
        /// The value.
        body: Bytes,
    },
    /// [`ControlCommand::PublishInstances`]
    PublishInstances {
        /// The list.
        body: Bytes,
    },
    /// [`ControlCommand::UpdatePlatform`]
    UpdatePlatform {
        /// The changed fields in JSON.
        body: Bytes,
    },
    /// [`ControlCommand::UpdateTarget`]
    UpdateTarget {
        /// Name of a target, a service or an availability zone, or `all`.
        target: String,
        /// The changed fields in JSON.
        body: Bytes,
    },
    /// [`ControlCommand::Crash`]
    Crash {
        /// Name of a target, a service or an availability zone, or `all`.
        target: String,
    },
    /// [`ControlCommand::Platform`]
    Platform,
    /// [`ControlCommand::Targets`]
    Targets,
    /// [`ControlCommand::Ledger`]
    Ledger,
}

/// Returns the event for a request; it borrows the request's data.
pub fn as_event(key: RequestKey, request: &OwnedRequest) -> Event<'_> {
    match request {
        &OwnedRequest::Call { target, ref call } => Event::CallReceived {
            request: key,
            target,
            call: as_call_view(call),
        },
        &OwnedRequest::Cancel {
            target,
            ref call_id,
        } => Event::CancelRequested {
            request: key,
            target,
            call_id,
        },
        &OwnedRequest::Load { target } => Event::LoadRequested {
            request: key,
            target,
        },
        &OwnedRequest::Watch {
            ref reader,
            after_version,
            wait,
        } => Event::WatchRequested {
            request: key,
            reader,
            after_version,
            wait,
        },
        OwnedRequest::Instances { reader } => Event::InstancesRequested {
            request: key,
            reader,
        },
        OwnedRequest::Command(command) => Event::CommandReceived {
            request: key,
            command: as_command(command),
        },
    }
}

fn as_call_view(call: &OwnedCall) -> CallView<'_> {
    CallView {
        call_id: &call.call_id,
        request_id: &call.request_id,
        snapshot: call.snapshot,
        timeout: call.timeout,
        is_idempotent: call.is_idempotent,
        body: &call.body,
    }
}

fn as_command(command: &OwnedCommand) -> ControlCommand<'_> {
    match command {
        OwnedCommand::PublishNote { body } => ControlCommand::PublishNote { body },
        OwnedCommand::PublishInstances { body } => ControlCommand::PublishInstances { body },
        OwnedCommand::UpdatePlatform { body } => ControlCommand::UpdatePlatform { body },
        OwnedCommand::UpdateTarget { target, body } => {
            ControlCommand::UpdateTarget { target, body }
        }
        OwnedCommand::Crash { target } => ControlCommand::Crash { target },
        OwnedCommand::Platform => ControlCommand::Platform,
        OwnedCommand::Targets => ControlCommand::Targets,
        OwnedCommand::Ledger => ControlCommand::Ledger,
    }
}
