//! Open-loop load generator for a fleet, with a report of latencies and outcomes.
//!
//! Arrivals follow a seeded Poisson process and never wait for earlier answers. Latency is measured
//! from the scheduled arrival, which avoids coordinated omission: a slow answer does not hide the
//! delay of the requests behind it. The program is built like an instance: [`reduce::reduce`] decides
//! what to send and what to count, and the shell performs the I/O and supplies the time.
//!
//! Invariants:
//! - the same seed and options give the same arrivals, mix of requests and bodies;
//! - every request to an instance is counted exactly once: as answered, refused, of unknown outcome
//!   or failed;
//! - quantiles are computed from one histogram and never averaged.

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
