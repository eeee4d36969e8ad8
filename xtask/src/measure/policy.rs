//! The policies that every case is measured with.

use findings::Findings;
use settings::Settings;

use crate::error::MeasureError;
use crate::{
    case::Case,
    drive, naive,
    tally::{self, Figures},
    world::{self, World},
};

/// One way to serve requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The next target in turn, no second call, waiting for all until the deadline.
    Naive,
    /// The reducer of an instance.
    Tier,
    /// The same reducer in a world whose stragglers are known before and avoided.
    Oracle,
}

/// All policies.
pub const POLICIES: [Policy; 3] = [Policy::Naive, Policy::Tier, Policy::Oracle];

/// Measures one case with one policy.
pub fn measure(case: &Case, policy: Policy, seed: u64) -> Result<Figures, MeasureError> {
    let mut world = world::open(case, seed, policy != Policy::Oracle);
    drive(&mut world, policy, seed)?;
    let measured = case.duration.saturating_sub(case.measure_from);
    let capacity_count = crate::fleet::capacity_per_second(case) * measured.as_secs_f64();
    let name = match policy {
        Policy::Naive => "naive",
        Policy::Tier => "tier",
        Policy::Oracle => "oracle",
    };
    let figures = tally::figures(&world.tally, case, name, capacity_count);
    Ok(figures)
}

/// Runs a world with one policy.
pub fn drive(world: &mut World, policy: Policy, seed: u64) -> Result<(), MeasureError> {
    if policy == Policy::Naive {
        let mut state = naive::open();
        drive::run(world, |_, event, out| {
            naive::reduce(&mut state, event, out);
        });
        return Ok(());
    }
    let settings = settings(&world.case, policy)?;
    let mut state = tier::open(settings, 1, seed);
    drive::run(world, |now, event, out| {
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
    let read = settings::read(&document.to_string(), &mut findings);
    let Some(mut settings) = read else {
        return Err(MeasureError::Findings("settings".to_owned(), findings));
    };
    if policy == Policy::Oracle {
        settings.query.hedge_budget_ratio = 0.0;
    }
    Ok(settings)
}
