//! Events of the measured world, and the effects that follow from them.

use std::time::Duration;

use bytes::Bytes;
use model::{
    CallFailure, CallKey, CallerKey, Event, Kind, LoadReport, Priority, ReplyStatus, ReplyView,
    RequestView, Snapshot, TargetKey, Timer,
};

/// Position of a target in the world.
pub type TargetIndex = usize;

/// One thing that happens in the world.
#[derive(Clone, Debug)]
pub enum Happening {
    /// The next request arrives.
    Arrival,
    /// A call reaches its target.
    CallArrives(CallKey),
    /// A target has executed a call; stale if the call has ended before.
    Executed {
        /// The target.
        target: TargetIndex,
        /// The call.
        call: CallKey,
    },
    /// A cancellation reaches its target.
    CancelArrives(CallKey),
    /// A target moves to its next snapshot.
    SnapshotMoves(TargetIndex),
    /// A fault of the case is due.
    Fault(usize),
    /// The measured policy learns of something.
    Policy(Notice),
}

/// What the measured policy learns of, owned while it is on its way.
#[derive(Clone, Debug)]
pub enum Notice {
    /// The process starts.
    Started,
    /// A caller asks.
    Request {
        /// The caller.
        caller: CallerKey,
        /// Number of the request.
        number: u64,
        /// Importance.
        priority: Priority,
    },
    /// A reply.
    Reply {
        /// The call.
        call: CallKey,
        /// What happened.
        status: ReplyStatus,
        /// Snapshot that was read.
        snapshot: Snapshot,
        /// The target's report.
        load: LoadReport,
        /// The result.
        body: Bytes,
    },
    /// A call that got no reply.
    CallFailed {
        /// The call.
        call: CallKey,
        /// How it ended.
        failure: CallFailure,
    },
    /// A load report.
    Load {
        /// The target.
        target: TargetKey,
        /// Its report.
        report: LoadReport,
    },
    /// A load probe without an answer.
    LoadFailed {
        /// The target.
        target: TargetKey,
    },
    /// A timer of the policy.
    Timer(Timer),
    /// A published note.
    Note {
        /// Version of the value.
        version: u64,
        /// The value.
        body: Bytes,
    },
    /// The list of the other instances.
    Instances {
        /// The list.
        body: Bytes,
    },
}

/// One thing that follows from a happening.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Something happens later.
    Later {
        /// The delay.
        after: Duration,
        /// What happens.
        happening: Happening,
    },
    /// The measured process sleeps: whatever it would learn meanwhile, it learns afterwards.
    Pause(Duration),
}

/// Lends a notice to a reducer as an event.
pub fn with_event<T>(notice: &Notice, timeout: Duration, feed: impl FnOnce(Event<'_>) -> T) -> T {
    match notice {
        Notice::Started => feed(Event::Started),
        Notice::Request {
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
                kind: Kind::Idempotent,
                timeout,
                body: b"{\"part\":\"tow-bar\"}",
            };
            feed(Event::Request {
                caller: *caller,
                request,
            })
        }
        Notice::Reply {
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
            feed(Event::Reply { call: *call, reply })
        }
        Notice::CallFailed { call, failure } => feed(Event::CallFailed {
            call: *call,
            failure: *failure,
        }),
        Notice::Load { target, report } => feed(Event::Load {
            target: *target,
            report: *report,
        }),
        Notice::LoadFailed { target } => feed(Event::LoadFailed {
            target: *target,
            failure: CallFailure::ConnectRefused,
        }),
        Notice::Timer(timer) => feed(Event::Timer(*timer)),
        Notice::Note { version, body } => feed(Event::PlatformNote {
            version: *version,
            body,
        }),
        Notice::Instances { body } => feed(Event::PlatformInstances { body }),
    }
}
