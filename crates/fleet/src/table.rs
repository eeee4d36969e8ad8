//! The state of configuration and membership.

use bytes::Bytes;
use findings::Findings;
use model::InstanceId;
use note::Note;
use serde::Serialize;

/// What this instance knows about the configuration and about the other instances.
#[derive(Clone, Debug, Serialize)]
pub struct FleetState {
    /// This run of this instance.
    pub id: InstanceId,
    /// The accepted configuration.
    pub note: Option<Note>,
    /// The accepted configuration as published.
    #[serde(skip)]
    pub note_body: Bytes,
    /// The platform's version of the last value read.
    pub platform_version: u64,
    /// Faults of the last published value that was not accepted.
    pub rejected: Findings,
    /// Whether the process is shutting down.
    pub is_leaving: bool,
}
