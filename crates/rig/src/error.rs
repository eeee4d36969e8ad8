//! Why a rig cannot do what it was asked.

use displaydoc::Display;

/// Why a rig cannot do what it was asked.
#[derive(Debug)]
#[derive(Display)]
pub enum RigError {
    /// cannot {0}: {1}
    Io(&'static str, std::io::Error),
    /// cannot build the programs
    Build,
    /// `{0}` did not write `{1}` in time, its last lines are: {2}
    NoLine(String, &'static str, String),
    /// `{0}` did not end in time
    NoExit(String),
    /// no reply from {0}: {1}
    NoReply(String, String),
    /// {0} replied {1}: {2}
    Refused(String, u16, String),
    /// {0} replied with something other than JSON: {1}
    NotJson(String, serde_json::Error),
    /// the process `{0}` is not running
    NotRunning(String),
}

impl std::error::Error for RigError {}
