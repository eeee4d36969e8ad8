//! Exit codes of the commands.

use std::process::ExitCode;

/// The result of a command as an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded, and what it queried or checked is in order.
    Success = 0,
    /// An instance cannot be reached, its reply is an error or not JSON, or a file cannot be read.
    Unreachable = 1,
    /// A document is invalid, or a query was rejected without an outcome. The command line parser
    /// uses the same code for usage errors.
    Findings = 2,
    /// A query was not run, or an instance is not ready.
    NotReady = 3,
    /// The answer to a query lacks the results of some services.
    Partial = 4,
    /// Whether a request ran is unknown, or no log mentions the request.
    Unknown = 5,
    /// The time limit of `balsamctl wait` was reached.
    TimedOut = 6,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// Footer of the help text, which lists the exit codes.
pub const HELP: &str = "Exit codes: 0 success; 1 instance unreachable or file unreadable; \
     2 findings or usage error; 3 not run or not ready; 4 partial answer; \
     5 outcome unknown; 6 time limit reached";
