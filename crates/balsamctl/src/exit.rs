//! Exit codes.

use std::process::ExitCode;

/// What a command found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Everything is as it should be.
    Success = 0,
    /// An instance cannot be reached or a file cannot be read.
    Unreachable = 1,
    /// A document has findings. The command line parser uses the same code for usage errors.
    Findings = 2,
    /// A query was not run, or an instance is not ready.
    NotReady = 3,
    /// An answer lacks some services.
    Partial = 4,
    /// It is not known whether a request ran.
    Unknown = 5,
    /// A wait has reached its time limit.
    TimedOut = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// The exit codes for the help text.
pub const HELP: &str = "Exit codes: 0 as it should be; 1 unreachable or unreadable; \
     2 findings or wrong usage; 3 not run or not ready; 4 partial answer; \
     5 outcome unknown; 6 time limit reached";
