//! Reads JSON documents and reports all their faults at once, each with its position.
//!
//! Invariants:
//! - an invalid value adds at least one [`Finding`], and reading continues with the next value;
//! - a reader that added no finding has read a complete document without unknown or repeated keys;
//! - no input makes a reader panic.

mod finding;
mod locate;
mod node;

#[cfg(test)]
mod tests;

pub use finding::{Finding, Findings};
pub use locate::locate;
pub use node::{Fields, Node, with_document};
