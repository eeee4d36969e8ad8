//! Fake platform and fake targets, for tests and measurements of instances.
//!
//! One process serves the platform's configuration API and simulates every target of a release
//! note. It is built like an instance: [`reduce::reduce`] is a pure reducer from events to effects,
//! and the shell executes the effects.
//!
//! Invariants:
//! - the reducer reads no clock, and all randomness comes from a seeded generator;
//! - every call is answered exactly once, unless the target is silent or the request is dropped;
//! - the ledger records each execution of a non-idempotent call, so that tests detect duplicates.

mod behaviour;
mod commands;
mod control;
mod effect;
mod event;
mod http;
mod ledger;
mod lifecycle;
mod platform;
mod reduce;
mod request;
mod shell;
mod state;
mod target;

#[cfg(test)]
mod tests;

use std::process::ExitCode;

fn main() -> ExitCode {
    commands::run(commands::parse())
}
