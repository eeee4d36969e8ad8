//! What the demonstration observes.

use std::{collections::BTreeMap, fmt, time::Duration};

use serde_json::Value;

/// A moment at which counts are noted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mark {
    /// Before a target becomes slow.
    BeforeSlow,
    /// After it was slow for a while.
    AfterSlow,
    /// When a zone must receive no further work.
    ZoneOut,
    /// A while after that.
    ZoneStillOut,
    /// A while after the zone came back.
    ZoneBack,
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let words = match self {
            Mark::BeforeSlow => "before the target is slow",
            Mark::AfterSlow => "after the target was slow",
            Mark::ZoneOut => "3 s after the zone was taken out",
            Mark::ZoneStillOut => "while the zone is still out",
            Mark::ZoneBack => "after the zone came back",
        };
        f.write_str(words)
    }
}

/// What targets and instances have counted since their start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Calls that the targets of the zone have received.
    pub zone_received_count: u64,
    /// Calls in cold start above what a target bears.
    pub cold_excess_count: u64,
    /// Most connections to one target at once, over its limit; at most 1 if the limit holds.
    pub connections_ratio: f64,
    /// Hedges of all instances.
    pub hedges_count: f64,
}

/// What a step observed.
#[derive(Clone, Debug)]
pub enum Observation {
    /// The demonstration begins.
    Started,
    /// Nothing worth keeping.
    Done,
    /// The answer to the single query.
    Answer(Value),
    /// Counts at a moment.
    Counts(Mark, Counts),
    /// Time until a revision was in force everywhere.
    InForce(Duration),
    /// The report of the load.
    Load(Value),
}

/// Everything that was observed.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// The answer to the single query.
    pub answer: Value,
    /// Counts by moment.
    pub counts: BTreeMap<Mark, Counts>,
    /// Times until a revision was in force everywhere.
    pub in_force: Vec<Duration>,
    /// The report of the load.
    pub load: Value,
}

/// Keeps what a step observed.
pub fn take_in(observed: &mut Observed, observation: Observation) {
    match observation {
        Observation::Started | Observation::Done => {}
        Observation::Answer(answer) => observed.answer = answer,
        Observation::Counts(mark, counts) => {
            observed.counts.insert(mark, counts);
        }
        Observation::InForce(after) => observed.in_force.push(after),
        Observation::Load(report) => observed.load = report,
    }
}
