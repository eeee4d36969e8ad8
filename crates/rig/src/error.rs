//! Errors of a rig.

use displaydoc::Display;

/// Why an operation on a rig failed.
#[derive(Debug)]
#[derive(Display)]
pub enum RigError {
    /// cannot {0}: {1}
    Io(&'static str, std::io::Error),
    /// cannot build the programs
    Build,
    /// `{0}` did not log `{1}` in time; its last log lines: {2}
    NoLogLine(String, &'static str, String),
    /// `{0}` did not exit in time
    ExitTimeout(String),
    /// no reply from {0}: {1}
    NoReply(String, String),
    /// {0} replied with HTTP status {1}: {2}
    ErrorStatus(String, u16, String),
    /// {0} replied with something other than JSON: {1}
    NotJson(String, serde_json::Error),
    /// the process `{0}` is not running
    NotRunning(String),
}

impl std::error::Error for RigError {}
