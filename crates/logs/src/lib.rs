//! The log of a process: one line of key=value pairs on standard output for each event.
//!
//! A line starts with `ts` (UTC), `level` and `event`; the fields of the event follow in the order
//! in which the reducer gave them. Lines of libraries appear only from the level warn on, as
//! `event=library`.
//!
//! Invariants:
//! - a line never contains a line break, and a value with a space, a quote or `=` is quoted;
//! - writing a line never fails the caller and never waits for whoever reads the log;
//! - lines that are dropped, because they are too many or nobody reads them, are counted in a line.

mod bounded;
mod layout;
mod write;

#[cfg(test)]
mod tests;

pub use write::{close, open, write};
