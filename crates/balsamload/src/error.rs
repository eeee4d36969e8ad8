//! Why a load cannot be run or reported.

use displaydoc::Display;

/// Why a load cannot be run or reported.
#[derive(Debug)]
#[derive(Display)]
pub enum LoadError {
    /// cannot write `{0}`: {1}
    Write(String, std::io::Error),
    /// cannot draw the charts: {0}
    Draw(String),
    /// cannot count latencies: {0}
    Histogram(String),
}

impl std::error::Error for LoadError {}
