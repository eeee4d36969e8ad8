//! Reads JSON documents and reports every fault in them at once, each with its place.
//!
//! Invariants:
//! - a faulty value adds at least one [`Finding`], and reading goes on with the next value;
//! - a reader that added no finding has read a complete document, without unknown or repeated keys;
//! - no input makes the reader panic.

mod finding;
mod locate;
mod node;

#[cfg(test)]
mod tests;

pub use finding::{Finding, Findings};
pub use locate::locate;
pub use node::{Fields, Node, with_document};
