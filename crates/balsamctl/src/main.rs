//! Command-line client for operators.
//!
//! Each command queries instances over HTTP or processes files, prints a table, text or JSON, and
//! reports its result by the exit code.
//!
//! Invariants:
//! - no command changes the configuration, which is published through the platform;
//! - with `--json` standard output holds one JSON document and nothing else;
//! - the exit code is one of [`exit::ExitStatus`].

mod client;
mod commands;
mod error;
mod exit;
mod explain;
mod notes;
mod query;
mod status;
mod wait;

#[cfg(test)]
mod tests;

use std::process::ExitCode;

fn main() -> ExitCode {
    let invocation = commands::parse();
    match commands::run(&invocation) {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("error: {error}");
            exit::ExitStatus::Unreachable.into()
        }
    }
}
