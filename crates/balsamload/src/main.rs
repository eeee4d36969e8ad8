//! Open-loop load for a fleet, and a report of what came back.
//!
//! Requests leave by a schedule drawn from a seeded Poisson process and never wait for replies.
//! Latency is counted from the scheduled arrival, so a slow reply does not hide the requests that
//! it would have delayed. The program has the shape of an instance: [`reduce::reduce`] decides what
//! to send and what to count, and the shell sends and measures time.
//!
//! Invariants:
//! - the same seed gives the same schedule, mix and bodies;
//! - every request that was sent is counted once: as answered, refused, of unknown outcome or failed;
//! - nothing is averaged over percentiles.

mod client;
mod commands;
mod error;
mod event;
mod options;
mod prometheus;
mod reduce;
mod report;
mod schedule;
mod shell;
mod state;

#[cfg(test)]
mod tests;

use std::process::ExitCode;

fn main() -> ExitCode {
    commands::run(&commands::parse())
}
