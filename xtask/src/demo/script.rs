//! What the demonstration does, step by step.

use std::time::Duration;

use note::ZoneState;

use super::observe::{self, Mark, Observation, Observed};

/// Zone that is taken out and brought back.
pub const ZONE: &str = "saki";
/// Target that becomes slow.
pub const SLOW_TARGET: &str = "contract-desk-07-t1";
/// Latency of the slow target.
pub const SLOW_MS: u32 = 400;
/// Latency of a target that is not slow.
pub const USUAL_MS: u32 = 3;
/// Time after which a zone that was taken out receives no new work.
pub const ZONE_LIMIT: Duration = Duration::from_secs(3);
/// Time in which the instances learn how long calls take.
const LEARNING: Duration = Duration::from_secs(6);
/// Time that the load runs.
pub const LOAD: Duration = Duration::from_secs(24);

/// One step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Print what comes next.
    Say(&'static str),
    /// Send one query and show its answer.
    Query,
    /// Start the load.
    StartLoad,
    /// Set the latency of the slow target.
    SetLatency {
        /// The latency.
        latency_ms: u32,
    },
    /// Publish whether the zone is in, and wait until that is in force.
    SetZone(ZoneState),
    /// Wait.
    Sleep(Duration),
    /// Note what targets and instances have counted.
    Note(Mark),
    /// Show the status of every instance.
    Status,
    /// Wait for the end of the load and read its report.
    AwaitLoad,
}

/// The steps in their order.
const SCRIPT: &[Step] = &[
    Step::Say("one query to 20 services"),
    Step::Query,
    Step::Say("a load of 60 queries a second at three instances begins"),
    Step::StartLoad,
    Step::Sleep(LEARNING),
    Step::Say("target contract-desk-07-t1 becomes slow: 400 ms instead of 3 ms"),
    Step::Note(Mark::BeforeSlow),
    Step::SetLatency {
        latency_ms: SLOW_MS,
    },
    Step::Sleep(Duration::from_secs(3)),
    Step::Note(Mark::AfterSlow),
    Step::SetLatency {
        latency_ms: USUAL_MS,
    },
    Step::Say("zone saki is taken out by a new release note"),
    Step::SetZone(ZoneState::Out),
    Step::Status,
    Step::Sleep(ZONE_LIMIT),
    Step::Note(Mark::ZoneOut),
    Step::Sleep(Duration::from_secs(3)),
    Step::Note(Mark::ZoneStillOut),
    Step::Say("zone saki comes back by a further release note"),
    Step::SetZone(ZoneState::In),
    Step::Sleep(Duration::from_secs(3)),
    Step::Note(Mark::ZoneBack),
    Step::Say("the load ends"),
    Step::AwaitLoad,
    Step::Status,
];

/// The demonstration: how far it has got and what was observed.
#[derive(Clone, Debug, Default)]
pub struct Demo {
    /// Number of the next step.
    pub next_step: usize,
    /// What was observed.
    pub observed: Observed,
}

/// Takes in what the last step observed and returns the next one.
pub fn reduce(demo: &mut Demo, observation: Observation) -> Option<Step> {
    observe::take_in(&mut demo.observed, observation);
    let step = SCRIPT.get(demo.next_step).copied();
    demo.next_step += 1;
    step
}
