//! The steps of the demo and the state machine that runs them in order.

use std::time::Duration;

use note::ZoneState;

use super::observation::{self, Checkpoint, Observation, Observations};

/// Zone that is taken out of service and brought back.
pub const AFFECTED_ZONE: &str = "saki";
/// Target whose latency is raised.
pub const SLOW_TARGET: &str = "contract-desk-07-t1";
/// Raised latency of the slow target.
pub const SLOW_LATENCY_MS: u32 = 400;
/// Latency that the slow target is reset to.
pub const NORMAL_LATENCY_MS: u32 = 3;
/// Time after which a zone taken out of service must receive no new calls.
pub const ZONE_OUT_DEADLINE: Duration = Duration::from_secs(3);
/// Time in which the instances collect latency samples, from which they derive hedging delays.
const LATENCY_WARM_UP: Duration = Duration::from_secs(6);
/// Time for which the load generator runs.
pub const LOAD_DURATION: Duration = Duration::from_secs(24);

/// A step of the scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Print a heading for the steps that follow.
    Announce(&'static str),
    /// Send one query and print a summary of its answer.
    Query,
    /// Start the load generator.
    StartLoad,
    /// Set the latency of the slow target.
    SetLatency {
        /// New latency.
        latency_ms: u32,
    },
    /// Publish a new state of the zone and wait until every instance applied it.
    SetZoneState(ZoneState),
    Sleep(Duration),
    /// Read the counters of targets and instances.
    RecordCounts(Checkpoint),
    /// Print the status of every instance.
    PrintStatus,
    /// Wait until the load generator ends and read its report.
    AwaitLoad,
}

/// The scenario.
const STEPS: &[Step] = &[
    Step::Announce("one query to 20 services"),
    Step::Query,
    Step::Announce("load starts: 60 queries per second to three instances"),
    Step::StartLoad,
    Step::Sleep(LATENCY_WARM_UP),
    Step::Announce("target contract-desk-07-t1 slows down: 400 ms instead of 3 ms"),
    Step::RecordCounts(Checkpoint::BeforeSlowdown),
    Step::SetLatency {
        latency_ms: SLOW_LATENCY_MS,
    },
    Step::Sleep(Duration::from_secs(3)),
    Step::RecordCounts(Checkpoint::DuringSlowdown),
    Step::SetLatency {
        latency_ms: NORMAL_LATENCY_MS,
    },
    Step::Announce("zone saki is taken out of service by a new release note"),
    Step::SetZoneState(ZoneState::Out),
    Step::PrintStatus,
    Step::Sleep(ZONE_OUT_DEADLINE),
    Step::RecordCounts(Checkpoint::ZoneOutStart),
    Step::Sleep(Duration::from_secs(3)),
    Step::RecordCounts(Checkpoint::ZoneOutEnd),
    Step::Announce("zone saki is brought back by another release note"),
    Step::SetZoneState(ZoneState::In),
    Step::Sleep(Duration::from_secs(3)),
    Step::RecordCounts(Checkpoint::ZoneRestored),
    Step::Announce("waiting for the load generator to finish"),
    Step::AwaitLoad,
    Step::PrintStatus,
];

/// State of the demo.
#[derive(Clone, Debug, Default)]
pub struct Demo {
    /// Index of the next step of the scenario.
    pub next_step_index: usize,
    pub observations: Observations,
}

/// Records what the last step observed and returns the next step, or `None` at the end.
pub fn reduce(demo: &mut Demo, observation: Observation) -> Option<Step> {
    observation::record(&mut demo.observations, observation);
    let step = STEPS.get(demo.next_step_index).copied();
    demo.next_step_index += 1;
    step
}
