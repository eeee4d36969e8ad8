//! Measures the cost of an instance without traffic: ticks and load probes.

use std::time::Duration;

use crate::simulated_instance::{advance_time, reset_counters, start_ready};

/// Simulated time over which the cost is measured.
const MEASURED_DURATION: Duration = Duration::from_secs(10);

/// The quantities of [`by_targets`].
pub const QUANTITIES: &[&str] = &["us_per_second", "probes_per_second_count"];

/// Measures processor time and load probes per second without traffic, by number of targets.
pub fn by_targets(targets_count: u32) -> Vec<f64> {
    let mut instance = start_ready(targets_count, 5);
    reset_counters(&mut instance);
    advance_time(&mut instance, MEASURED_DURATION);
    let seconds = MEASURED_DURATION.as_secs_f64();
    vec![
        instance.reducer_time.as_secs_f64() * 1e6 / seconds,
        instance.probes_count as f64 / seconds,
    ]
}
