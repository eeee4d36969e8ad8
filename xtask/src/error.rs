//! Errors of the tasks; their messages go to the developer who runs them.

use displaydoc::Display;

/// Why a task failed.
#[derive(Debug)]
#[derive(Display)]
pub enum TaskError {
    /// `{0}` failed
    Command(String),
    /// cannot read or write `{0}`: {1}
    File(String, std::io::Error),
    /// cannot compile the protobuf definitions: {0}
    Protobuf(String),
    /// `{0}` is out of date; run `cargo xtask codegen`
    Outdated(&'static str),
    /** sources outside `platform/` contain names of the platform's protocol:
    {0}*/
    WireNames(String),
    /// {0}
    Rig(rig::RigError),
    /// failed checks: {0}
    ChecksFailed(String),
}

impl From<rig::RigError> for TaskError {
    fn from(error: rig::RigError) -> TaskError {
        TaskError::Rig(error)
    }
}

impl std::error::Error for TaskError {}
