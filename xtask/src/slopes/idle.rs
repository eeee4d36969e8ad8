//! What an instance without callers spends on control: its ticks and its load probes.

use std::time::Duration;

use model::{Effect, Event, Timer};

use crate::instance::{Instance, feed, open, report, reset};

/// Time that passes.
const DURATION: Duration = Duration::from_secs(10);

/// The quantities of [`by_targets`].
pub const QUANTITIES: &[&str] = &["us_per_second", "probes_per_second_count"];

/// Processor time and probes in a second without traffic, against the targets.
pub fn by_targets(targets_count: u32) -> Vec<f64> {
    let mut instance = open(targets_count, 5);
    let tick = instance.state.settings.fleet.tick;
    reset(&mut instance);
    let mut probes_count = 0;
    let end = instance.now + DURATION;
    while instance.now < end {
        instance.now += tick;
        feed(&mut instance, [Event::Timer(Timer::Tick)]);
        probes_count += answer_probes(&mut instance);
    }
    let seconds = DURATION.as_secs_f64();
    vec![
        instance.spent.as_secs_f64() * 1e6 / seconds,
        probes_count as f64 / seconds,
    ]
}

fn answer_probes(instance: &mut Instance) -> usize {
    let asked: Vec<_> = instance
        .out
        .iter()
        .filter_map(|effect| match effect {
            Effect::AskLoad { target, .. } => Some(*target),
            _ => None,
        })
        .collect();
    let report = report();
    feed(
        instance,
        asked.iter().map(|&target| Event::Load { target, report }),
    );
    asked.len()
}
