//! What HTTP requests ask for, owned while they wait in the shell's mailbox.

use std::time::Duration;

use bytes::Bytes;

use crate::event::{CallView, Control, Event, RequestKey, TargetKey};

/// What an HTTP request asks for.
#[derive(Clone, Debug)]
pub enum Ask {
    /// A call to a target.
    Call {
        /// The target.
        target: TargetKey,
        /// The call.
        call: OwnedCall,
    },
    /// The cancellation of a call.
    Cancel {
        /// The target.
        target: TargetKey,
        /// Number of the call.
        call_id: String,
    },
    /// A target's load report.
    Load {
        /// The target.
        target: TargetKey,
    },
    /// The published configuration.
    Watch {
        /// Name of the reader.
        reader: String,
        /// Version that the reader has.
        after_version: u64,
        /// Longest time to wait.
        wait: Duration,
    },
    /// The list of instances.
    Instances {
        /// Name of the reader.
        reader: String,
    },
    /// A command on the control port.
    Control(Steering),
}

/// A call to a target.
#[derive(Clone, Debug)]
pub struct OwnedCall {
    /// Number of the call.
    pub call_id: String,
    /// Identifier of the caller's request.
    pub request_id: String,
    /// Snapshot that the call reads, if it reads one.
    pub snapshot: Option<u64>,
    /// Time that the call may take.
    pub timeout: Option<Duration>,
    /// Whether the target may see the call more than once.
    pub is_idempotent: bool,
    /// The query.
    pub body: Bytes,
}

/// A command on the control port.
#[derive(Clone, Debug)]
pub enum Steering {
    /// [`Control::PublishNote`]
    PublishNote {
        /// The value.
        body: Bytes,
    },
    /// [`Control::PublishInstances`]
    PublishInstances {
        /// The list.
        body: Bytes,
    },
    /// [`Control::SteerPlatform`]
    SteerPlatform {
        /// The changed fields.
        body: Bytes,
    },
    /// [`Control::SteerTarget`]
    SteerTarget {
        /// Name of the target.
        target: String,
        /// The changed fields.
        body: Bytes,
    },
    /// [`Control::Crash`]
    Crash {
        /// Name of the target.
        target: String,
    },
    /// [`Control::Platform`]
    Platform,
    /// [`Control::Targets`]
    Targets,
    /// [`Control::Ledger`]
    Ledger,
}

/// Borrows an event from what was asked.
pub fn event(request: RequestKey, ask: &Ask) -> Event<'_> {
    match ask {
        &Ask::Call { target, ref call } => Event::Call {
            request,
            target,
            call: view(call),
        },
        &Ask::Cancel {
            target,
            ref call_id,
        } => Event::CancelWanted {
            request,
            target,
            call_id,
        },
        &Ask::Load { target } => Event::LoadWanted { request, target },
        &Ask::Watch {
            ref reader,
            after_version,
            wait,
        } => Event::Watch {
            request,
            reader,
            after_version,
            wait,
        },
        Ask::Instances { reader } => Event::InstancesWanted { request, reader },
        Ask::Control(steering) => Event::Control {
            request,
            control: control(steering),
        },
    }
}

fn view(call: &OwnedCall) -> CallView<'_> {
    CallView {
        call_id: &call.call_id,
        request_id: &call.request_id,
        snapshot: call.snapshot,
        timeout: call.timeout,
        is_idempotent: call.is_idempotent,
        body: &call.body,
    }
}

fn control(steering: &Steering) -> Control<'_> {
    match steering {
        Steering::PublishNote { body } => Control::PublishNote { body },
        Steering::PublishInstances { body } => Control::PublishInstances { body },
        Steering::SteerPlatform { body } => Control::SteerPlatform { body },
        Steering::SteerTarget { target, body } => Control::SteerTarget { target, body },
        Steering::Crash { target } => Control::Crash { target },
        Steering::Platform => Control::Platform,
        Steering::Targets => Control::Targets,
        Steering::Ledger => Control::Ledger,
    }
}
