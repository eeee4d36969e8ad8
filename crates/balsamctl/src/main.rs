//! The operators' client.
//!
//! Each command reads from instances over HTTP or works on files, prints a table or JSON, and says
//! by its exit code what it found.
//!
//! Invariants:
//! - no command changes anything: configurations are published through the platform;
//! - with `--json` standard output holds one JSON document and nothing else;
//! - the exit code is one of [`exit::Exit`].

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
    let command = commands::parse();
    match commands::run(&command) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("error: {error}");
            exit::Exit::Unreachable.into()
        }
    }
}
