//! What an instance without callers spends on control: its ticks and its load probes.

use std::time::Duration;

use crate::instance::{open, pass, reset};

/// Time that passes.
const DURATION: Duration = Duration::from_secs(10);

/// The quantities of [`by_targets`].
pub const QUANTITIES: &[&str] = &["us_per_second", "probes_per_second_count"];

/// Processor time and probes in a second without traffic, against the targets.
pub fn by_targets(targets_count: u32) -> Vec<f64> {
    let mut instance = open(targets_count, 5);
    reset(&mut instance);
    pass(&mut instance, DURATION);
    let seconds = DURATION.as_secs_f64();
    vec![
        instance.spent.as_secs_f64() * 1e6 / seconds,
        instance.probes_count as f64 / seconds,
    ]
}
