//! Errors of the measuring program.

use displaydoc::Display;
use findings::Findings;

/// Why a measurement failed.
#[derive(Debug)]
#[derive(Display)]
pub enum MeasureError {
    /// cannot read `{0}`: {1}
    File(String, std::io::Error),
    /// `{0}` has faults: {1}
    Findings(String, Findings),
    /// an answer was wrong: see `wrong_answers`, `doubled_answers` and `calls_for_finished` of `{0}`
    Broken(String),
}

impl std::error::Error for MeasureError {}
