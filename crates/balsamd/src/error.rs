//! Why an instance cannot start.

use std::net::SocketAddr;

use displaydoc::Display;
use findings::Findings;

/// Why an instance cannot start.
#[derive(Debug)]
#[derive(Display)]
pub enum StartError {
    /// cannot read the settings file `{0}`: {1}
    SettingsFile(String, std::io::Error),
    /** the settings file `{0}` has findings:
    {1}*/
    Settings(String, Findings),
    /// cannot listen for {0} on {1}: {2}
    Listen(&'static str, SocketAddr, std::io::Error),
    /// cannot draw random numbers: {0}
    Random(String),
    /// cannot export metrics: {0}
    Metrics(String),
    /// cannot serve: {0}
    Serve(std::io::Error),
}

impl std::error::Error for StartError {}
