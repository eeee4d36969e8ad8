//! Options of a load.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

/// The load to generate, the fleet under load and where to write reports.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the instances' caller ports.
    pub instances: Vec<SocketAddr>,
    /// Addresses of the instances' operator ports, from which call counters are read.
    pub operators: Vec<SocketAddr>,
    /// Fronts to send queries to, each with the same probability.
    pub fronts: Vec<String>,
    /// Service for at-most-once requests; required if there are any.
    pub service: Option<String>,
    /// Target to call directly once per arrival, as a baseline without an instance in between.
    pub direct: Option<SocketAddr>,
    /// Mean arrival rate; direct calls are not counted.
    pub rate_per_s: f64,
    /// Time over which arrivals are scheduled.
    pub duration: Duration,
    /// Timeout of each request, passed on to the instance.
    pub timeout: Duration,
    /// Percentage of arrivals with urgent priority.
    pub urgent_percent: u32,
    /// Percentage of arrivals with deferrable priority.
    pub deferrable_percent: u32,
    /// Percentage of arrivals that are at-most-once requests.
    pub once_percent: u32,
    /// Seed of the arrivals and the mix of requests.
    pub seed: u64,
    /// Whether every result must echo its query, as results of `balsamfake` do.
    pub is_echo_checked: bool,
    /// Whether to print errors only, without progress and table.
    pub is_quiet: bool,
    /// File for the report in JSON.
    pub json: Option<PathBuf>,
    /// File for the charts in SVG.
    pub svg: Option<PathBuf>,
}
