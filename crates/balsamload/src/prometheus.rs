//! Parsing of call counters from Prometheus text.

use crate::event::CallCounters;

/// Parses the counters of calls to targets.
///
/// A missing counter is 0, because an instance exports it only after the first increment.
pub fn parse_counters(text: &str) -> CallCounters {
    let mut counters = CallCounters::default();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let Ok(value) = value.parse() else { continue };
        let name = name.split('{').next().unwrap_or(name);
        match name {
            "balsamd_primary_calls_total" => counters.primary_count = value,
            "balsamd_hedge_calls_total" => counters.hedge_count = value,
            "balsamd_retry_calls_total" => counters.retry_count = value,
            _ => {}
        }
    }
    counters
}
