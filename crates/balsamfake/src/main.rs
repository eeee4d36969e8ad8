//! Stand-ins for what surrounds balsamfall: the platform's configuration service and the targets.
//!
//! One process plays the platform and every target of a release note. It has the same shape as an
//! instance: [`reduce::reduce`] decides, and the shell runs the effects.
//!
//! Invariants:
//! - the reducer reads no clock and draws from a seeded generator;
//! - every call that arrives is answered once, or its connection is closed;
//! - the ledger counts each execution of a call, so that a test can see a doubled one.

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
