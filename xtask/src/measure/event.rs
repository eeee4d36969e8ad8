//! Events and effects of the simulation.

use std::time::Duration;

use bytes::Bytes;
use model::{
    CallFailure, CallKey, CallerKey, Event, ExecutionKind, LoadReport, Priority, ReplyStatus,
    ReplyView, RequestView, Snapshot, TargetKey, Timer,
};

/// Index of a target in the simulation's list of targets.
pub type TargetIndex = usize;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub enum SimEvent {
    /// The next request arrives.
    RequestArrival,
    /// A call arrives at its target.
    CallArrival(CallKey),
    /// A target has executed a call. Ignored if the call has been cancelled or abandoned before.
    CallExecuted {
        /// The target.
        target: TargetIndex,
        /// The call.
        call: CallKey,
    },
    /// A cancellation arrives at its target.
    CancelArrival(CallKey),
    /// A target switches to its next snapshot.
    SnapshotSwitch(TargetIndex),
    /// A fault is due; the value is its index in the case.
    Fault(usize),
    /// An event for the policy under test.
    Policy(PolicyEvent),
}

/// An event for the policy under test, owned so that it can wait in the queue.
#[derive(Clone, Debug)]
pub enum PolicyEvent {
    /// The instance's process starts.
    Started,
    /// A request arrives.
    Request {
        /// The caller.
        caller: CallerKey,
        /// Number of the request.
        number: u64,
        /// Priority of the request.
        priority: Priority,
    },
    /// A target replies to a call.
    Reply {
        /// The call.
        call: CallKey,
        /// Status of the reply.
        status: ReplyStatus,
        /// Snapshot that was read; the newest one of the target if the status is `WrongSnapshot`.
        snapshot: Snapshot,
        /// The target's load report.
        load: LoadReport,
        /// The result.
        body: Bytes,
    },
    /// A call ends without a reply.
    CallFailed {
        /// The call.
        call: CallKey,
        /// Why there is no reply.
        failure: CallFailure,
    },
    /// A target answers a load probe.
    Load {
        /// The target.
        target: TargetKey,
        /// The target's load report.
        report: LoadReport,
    },
    /// A load probe gets no answer.
    LoadFailed {
        /// The target.
        target: TargetKey,
    },
    /// A timer of the policy expires.
    Timer(Timer),
    /// The platform delivers the release note.
    Note {
        /// Version of the note on the platform.
        version: u64,
        /// The note as JSON.
        body: Bytes,
    },
    /// The platform delivers the list of the other instances.
    Instances {
        /// The list as JSON.
        body: Bytes,
    },
}

/// An effect on the simulation.
#[derive(Clone, Debug)]
pub enum SimEffect {
    /// Schedules an event.
    Schedule {
        /// Delay from now.
        after: Duration,
        /// The event.
        event: SimEvent,
    },
    /// Pauses the instance's process for this time; events for the policy are delivered at its end.
    Pause(Duration),
}

/// Calls `reduce` with the borrowed event that corresponds to `policy_event`.
pub fn with_event<T>(
    policy_event: &PolicyEvent,
    timeout: Duration,
    reduce: impl FnOnce(Event<'_>) -> T,
) -> T {
    match policy_event {
        PolicyEvent::Started => reduce(Event::Started),
        PolicyEvent::Request {
            caller,
            number,
            priority,
        } => {
            let request_id = number.to_string();
            let request = RequestView {
                request_id: &request_id,
                front: crate::fleet::FRONT,
                service: None,
                priority: *priority,
                kind: ExecutionKind::Idempotent,
                timeout,
                body: b"{\"part\":\"tow-bar\"}",
            };
            reduce(Event::Request {
                caller: *caller,
                request,
            })
        }
        PolicyEvent::Reply {
            call,
            status,
            snapshot,
            load,
            body,
        } => {
            let reply = ReplyView {
                status: *status,
                snapshot: *snapshot,
                body,
                load: Some(*load),
            };
            reduce(Event::Reply { call: *call, reply })
        }
        PolicyEvent::CallFailed { call, failure } => reduce(Event::CallFailed {
            call: *call,
            failure: *failure,
        }),
        PolicyEvent::Load { target, report } => reduce(Event::Load {
            target: *target,
            report: *report,
        }),
        PolicyEvent::LoadFailed { target } => reduce(Event::LoadFailed {
            target: *target,
            failure: CallFailure::ConnectRefused,
        }),
        PolicyEvent::Timer(timer) => reduce(Event::Timer(*timer)),
        PolicyEvent::Note { version, body } => reduce(Event::PlatformNote {
            version: *version,
            body,
        }),
        PolicyEvent::Instances { body } => reduce(Event::PlatformInstances { body }),
    }
}
