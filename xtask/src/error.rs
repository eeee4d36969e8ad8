//! Errors of tasks.

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
    /// `{0}` is not up to date, run `cargo xtask codegen`
    Outdated(&'static str),
    /** these sources contain names of the platform's messages:
    {0}*/
    WireNames(String),
    /// {0}
    Rig(rig::RigError),
    /// these promises were broken: {0}
    Broken(String),
}

impl From<rig::RigError> for TaskError {
    fn from(error: rig::RigError) -> TaskError {
        TaskError::Rig(error)
    }
}

impl std::error::Error for TaskError {}
