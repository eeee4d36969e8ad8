//! Everything that the stand-ins can do.

use std::time::Duration;

use bytes::Bytes;
use model::{LoadReport, ReplyStatus};

use crate::event::RequestKey;

/// One thing for the shell to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Deliver [`crate::event::Event::Executed`] after a delay.
    Execute {
        /// The call.
        request: RequestKey,
        /// The delay.
        after: Duration,
    },
    /// Reply to a call.
    Reply {
        /// The call.
        request: RequestKey,
        /// What happened.
        status: ReplyStatus,
        /// Snapshot that was read.
        snapshot: u64,
        /// The target's load.
        load: LoadReport,
        /// The result.
        body: Bytes,
    },
    /// Reply with a load report.
    Load {
        /// The request.
        request: RequestKey,
        /// The report.
        load: LoadReport,
    },
    /// Reply with the published value.
    Value {
        /// The request.
        request: RequestKey,
        /// Version of the value.
        version: u64,
        /// The value.
        body: Bytes,
    },
    /// Reply that there is no such target.
    NotFound {
        /// The request.
        request: RequestKey,
    },
}
