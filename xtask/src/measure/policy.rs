//! The policies under test; every case runs with each of them.

use findings::Findings;
use settings::Settings;

use crate::error::MeasureError;
use crate::{
    case::Case,
    event_loop, naive,
    simulation::{self, Simulation},
    stats::{self, Summary},
};

/// How requests are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Baseline: round robin over the targets, no retry or hedge, waits for all replies until the
    /// deadline.
    Naive,
    /// The reducer of an instance.
    Tier,
    /// Bound for hedging: the same reducer without hedges in a simulation without stragglers, as if
    /// every straggler were known in advance and avoided.
    Oracle,
}

/// All policies in the order of the results.
pub const POLICIES: [Policy; 3] = [Policy::Naive, Policy::Tier, Policy::Oracle];

/// Simulates one case with one policy and returns its results.
pub fn measure(case: &Case, policy: Policy, seed: u64) -> Result<Summary, MeasureError> {
    let mut sim = simulation::new(case, seed, policy != Policy::Oracle);
    run(&mut sim, policy, seed)?;
    let measured_time = case.duration.saturating_sub(case.measure_from);
    let capacity_count = crate::fleet::capacity_per_second(case) * measured_time.as_secs_f64();
    let name = match policy {
        Policy::Naive => "naive",
        Policy::Tier => "tier",
        Policy::Oracle => "oracle",
    };
    let summary = stats::summarize(&sim.stats, case, name, capacity_count);
    Ok(summary)
}

/// Runs a simulation to its end with one policy.
pub fn run(sim: &mut Simulation, policy: Policy, seed: u64) -> Result<(), MeasureError> {
    if policy == Policy::Naive {
        let mut state = naive::new();
        event_loop::run(sim, |_, event, out| {
            naive::reduce(&mut state, event, out);
        });
        return Ok(());
    }
    let settings = settings(&sim.case, policy)?;
    let mut state = tier::new_state(settings, 1, seed);
    event_loop::run(sim, |now, event, out| {
        tier::reduce(&mut state, now, event, out);
    });
    Ok(())
}

fn settings(case: &Case, policy: Policy) -> Result<Settings, MeasureError> {
    let document = serde_json::json!({
        "instance": {"name": "measured", "zone": case.zones[0]},
        "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
        "platform": {"address": "127.0.0.1:4"},
    });
    let mut findings = Findings::default();
    let parsed = settings::read(&document.to_string(), &mut findings);
    let Some(mut settings) = parsed else {
        return Err(MeasureError::Findings("settings".to_owned(), findings));
    };
    if policy == Policy::Oracle {
        settings.query.hedge_budget_ratio = 0.0;
    }
    Ok(settings)
}
