//! Everything that can happen to the stand-ins.

use slotmap::new_key_type;

new_key_type! {
    /// A request whose reply is awaited.
    pub struct RequestKey;
}

/// One thing that happened.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A call arrived at a target.
    Call {
        /// Where the reply goes.
        request: RequestKey,
        /// Name of the target.
        target: &'a str,
        /// Snapshot that the call reads, if it reads one.
        snapshot: Option<u64>,
        /// The query.
        body: &'a [u8],
    },
    /// A target's load report is wanted.
    LoadWanted {
        /// Where the reply goes.
        request: RequestKey,
        /// Name of the target.
        target: &'a str,
    },
    /// The published configuration is wanted as soon as it is newer than a version.
    Watch {
        /// Where the reply goes.
        request: RequestKey,
        /// Version that the reader has.
        after_version: u64,
    },
    /// A watch has waited long enough.
    WatchExpired {
        /// The watch.
        request: RequestKey,
    },
    /// An operator publishes a configuration.
    Publish {
        /// Where the reply goes.
        request: RequestKey,
        /// The value.
        body: &'a [u8],
    },
    /// A call's execution time has passed.
    Executed {
        /// The call.
        request: RequestKey,
    },
}
