//! Errors that end the process.

use std::net::SocketAddr;

use displaydoc::Display;
use findings::Findings;

/// Reason why the process cannot start, or cannot go on serving.
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
    /// cannot read a random seed from the operating system: {0}
    Random(String),
    /// cannot register the metrics exporter: {0}
    Metrics(String),
    /// cannot install signal handlers or run the event loop: {0}
    Serve(std::io::Error),
}

impl std::error::Error for StartError {}
