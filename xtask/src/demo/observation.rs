//! Observations of the demo.

use std::{collections::BTreeMap, fmt, time::Duration};

use serde_json::Value;

/// A point of the scenario at which counts are recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Checkpoint {
    /// Before the latency of the slow target is raised.
    BeforeSlowdown,
    /// 3 s after the latency was raised, before it is reset.
    DuringSlowdown,
    /// When the grace period for a zone taken out of service ends: it must receive no more calls.
    ZoneOutStart,
    /// 3 s later, before the zone is brought back.
    ZoneOutEnd,
    /// 3 s after the zone was brought back.
    ZoneRestored,
}

impl fmt::Display for Checkpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Checkpoint::BeforeSlowdown => "before the target slows down",
            Checkpoint::DuringSlowdown => "while the target is slow",
            Checkpoint::ZoneOutStart => "3 s after the zone was taken out of service",
            Checkpoint::ZoneOutEnd => "while the zone is still out of service",
            Checkpoint::ZoneRestored => "after the zone was brought back",
        };
        f.write_str(text)
    }
}

/// Counters of all targets and instances since their start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Calls received by the targets of the zone that is taken out of service.
    pub zone_received_count: u64,
    /// Calls to targets in cold start beyond the concurrency they accept.
    pub cold_excess_count: u64,
    /// Largest ratio, over all targets, of connections (peak plus refused) to the connection limit;
    /// at most 1 if no instance tried to exceed a limit.
    pub connections_ratio: f64,
    /// Hedged calls sent by all instances.
    pub hedges_count: f64,
}

/// What a step observed.
#[derive(Clone, Debug)]
pub enum Observation {
    /// The demo starts.
    Started,
    /// The step ended without a result to record.
    Done,
    /// The answer to the single query.
    Answer(Value),
    /// Counts at a checkpoint.
    Counts(Checkpoint, Counts),
    /// Time from the publication of a revision until every instance applied it.
    PropagationTime(Duration),
    /// The report of the load generator.
    LoadResult(Value),
}

/// All observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The answer to the single query.
    pub answer: Value,
    /// Counts by checkpoint.
    pub counts: BTreeMap<Checkpoint, Counts>,
    /// Time until every instance applied a revision, for each revision published.
    pub propagation_times: Vec<Duration>,
    /// The report of the load generator.
    pub load_result: Value,
}

/// Adds an observation.
pub fn record(observations: &mut Observations, observation: Observation) {
    match observation {
        Observation::Started | Observation::Done => {}
        Observation::Answer(answer) => observations.answer = answer,
        Observation::Counts(checkpoint, counts) => {
            observations.counts.insert(checkpoint, counts);
        }
        Observation::PropagationTime(propagation_time) => {
            observations.propagation_times.push(propagation_time)
        }
        Observation::LoadResult(report) => observations.load_result = report,
    }
}
