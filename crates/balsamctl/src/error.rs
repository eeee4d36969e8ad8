//! Errors of the commands.

use displaydoc::Display;

/// Why a command failed.
#[derive(Debug)]
#[derive(Display)]
pub enum CommandError {
    /// cannot read `{0}`: {1}
    Read(String, std::io::Error),
    /// no reply from {0}: {1}
    NoReply(String, String),
    /// {0} replied with HTTP status {1}: {2}
    ErrorStatus(String, u16, String),
    /// {0} replied with something other than JSON: {1}
    NotJson(String, serde_json::Error),
}

impl std::error::Error for CommandError {}
