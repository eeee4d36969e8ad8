//! Logging in logfmt: one line of key=value pairs on standard output per event.
//!
//! A line starts with `ts` (UTC), `level` and `event`; the fields of the event follow in the
//! order in which they were added. Records of libraries are written from level warn on, as
//! `event=library`.
//!
//! Invariants:
//! - a line never contains a line break, and a value with a space, a quote or `=` is quoted;
//! - writing a line never returns an error and never blocks on the reader of the log;
//! - lines over the rate limit, or that find the queue full, are dropped; a `log-lines-dropped`
//!   line tells their number.

mod appender;
mod layout;
mod write;

#[cfg(test)]
mod tests;

pub use write::{flush, init, write};
