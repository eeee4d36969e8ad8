//! The counters of an instance in Prometheus text.

use crate::event::Calls;

/// Reads the counters that show the extra load; one that is missing has not been counted yet.
pub fn read(text: &str) -> Calls {
    let mut calls = Calls::default();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let Ok(value) = value.parse() else { continue };
        let name = name.split('{').next().unwrap_or(name);
        match name {
            "balsamd_primary_calls_total" => calls.primary_count = value,
            "balsamd_hedge_calls_total" => calls.hedge_count = value,
            "balsamd_retry_calls_total" => calls.retry_count = value,
            _ => {}
        }
    }
    calls
}
