//! The process of an entry instance of balsamfall.
//!
//! It is the imperative shell around the reducer, [`tier::reduce`]: it translates input (requests,
//! replies, timers, signals) into events and runs the effects that the reducer returns. All
//! decisions are made by the reducer.
//!
//! Invariants:
//! - one actor owns the reducer's state, and no lock or borrow is held across an await;
//! - a panic ends the process or one connection, call or read, never something in between;
//! - idle tasks block in the operating system; nothing polls in a loop;
//! - messages are encoded and decoded (HTTP, JSON, protobuf) in the modules that own the
//!   connections.

mod attempts;
mod callers;
mod calls;
mod client;
mod clock;
mod commands;
mod effects;
mod error;
mod gateway_messages;
mod http;
mod ingress;
mod limited_stream;
mod limits;
mod metrics;
mod operators;
mod peers;
mod platform_reads;
mod readiness;
mod reports;
mod shell;
mod store_reads;
mod supervise;
mod timers;

use std::process::ExitCode;

fn main() -> ExitCode {
    commands::run(commands::parse())
}
