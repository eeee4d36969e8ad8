//! Errors of the measurement.

use displaydoc::Display;
use findings::Findings;

/// Why a measurement failed.
#[derive(Debug)]
#[derive(Display)]
pub enum MeasureError {
    /// cannot read `{0}`: {1}
    File(String, std::io::Error),
    /// `{0}` is invalid: {1}
    Findings(String, Findings),
    /// case `{0}`: `wrong_answers`, `doubled_answers` and `calls_for_finished` must all be 0
    InvalidAnswers(String),
}

impl std::error::Error for MeasureError {}
