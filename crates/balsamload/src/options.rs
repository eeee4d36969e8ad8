//! What load to put on which fleet.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

/// What load to put on which fleet, and where the reports go.
#[derive(Clone, Debug)]
pub struct Options {
    /// Callers' ports of the instances.
    pub instances: Vec<SocketAddr>,
    /// Operators' ports of the instances, whose metrics show the extra load.
    pub operators: Vec<SocketAddr>,
    /// Fronts, each asked equally often.
    pub fronts: Vec<String>,
    /// Service that requests which run at most once go to.
    pub service: Option<String>,
    /// Target that is called directly, for comparison.
    pub direct: Option<SocketAddr>,
    /// Requests in one second.
    pub rate_per_s: f64,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Time that each request may take.
    pub timeout: Duration,
    /// Share of urgent requests.
    pub urgent_percent: u32,
    /// Share of deferrable requests.
    pub deferrable_percent: u32,
    /// Share of requests that run at most once.
    pub once_percent: u32,
    /// Seed of the schedule.
    pub seed: u64,
    /// Whether every result must repeat the query, as the stand-ins do.
    pub is_echo_checked: bool,
    /// Whether to show nothing but faults.
    pub is_quiet: bool,
    /// Where the report in JSON goes.
    pub json: Option<PathBuf>,
    /// Where the charts go.
    pub svg: Option<PathBuf>,
}
