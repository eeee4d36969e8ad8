//! Errors of tasks.

use displaydoc::Display;

/// Why a task failed.
#[derive(Debug, Display)]
pub enum TaskError {
    /// `{0}` failed
    Command(String),
    /// cannot read or write `{0}`: {1}
    File(String, std::io::Error),
    /// cannot compile the protobuf definitions: {0}
    Protobuf(String),
    /// `{0}` is not up to date, run `cargo xtask codegen`
    Outdated(&'static str),
}

impl std::error::Error for TaskError {}
