//! The clock that the shell passes to the reducer.

use std::time::Instant;

/// A source of the present time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Returns the present time.
    pub now: fn() -> Instant,
}

/// Returns the clock of the operating system.
pub fn system() -> Clock {
    Clock { now: Instant::now }
}
