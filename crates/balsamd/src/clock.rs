//! Source of the time that the shell passes to the reducer.

use std::time::Instant;

/// A monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Returns the current time.
    pub now: fn() -> Instant,
}

/// Returns the monotonic clock of the operating system.
pub fn system() -> Clock {
    Clock { now: Instant::now }
}
