//! An entry instance of balsamfall.
//!
//! The process is a shell around [`tier::reduce`]: it turns what happens outside into events, runs
//! the effects, and decides nothing.
//!
//! Invariants:
//! - one actor owns the reducer's state, and no lock or borrow is held across an await;
//! - every wait is a wait for the operating system; nothing polls in a loop;
//! - encodings (HTTP, JSON, protobuf) are converted in the modules that own the connections.

mod attempts;
mod callers;
mod client;
mod clock;
mod commands;
mod effects;
mod error;
mod exchanges;
mod http;
mod ingress;
mod metrics;
mod notes;
mod operators;
mod peers;
mod reports;
mod shell;
mod store;
mod targets;
mod timers;
mod waits;

use std::process::ExitCode;

fn main() -> ExitCode {
    commands::run(commands::parse())
}
