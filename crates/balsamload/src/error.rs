//! Errors of running a load and writing its report.

use displaydoc::Display;

/// An error of running a load or writing its report.
#[derive(Debug)]
#[derive(Display)]
pub enum LoadError {
    /// cannot write `{0}`: {1}
    Write(String, std::io::Error),
    /// cannot draw charts: {0}
    Draw(String),
    /// cannot create latency histogram: {0}
    Histogram(String),
}

impl std::error::Error for LoadError {}
