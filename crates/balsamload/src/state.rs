//! What has been sent and what has come back.

use std::{collections::BTreeMap, time::Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use slotmap::SlotMap;

use crate::{
    error::LoadError,
    event::{CallCounters, RequestKey},
    options::Options,
    schedule::{self, Arrival, Schedule},
};

/// Longest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 600_000_000;
/// Significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// Everything that the program knows.
#[derive(Clone, Debug)]
pub struct State {
    /// What load was asked for.
    pub options: Options,
    /// The schedule.
    pub schedule: Schedule,
    /// When the load began.
    pub started_at: Instant,
    /// Requests whose end is awaited.
    pub in_flight: SlotMap<RequestKey, InFlightRequest>,
    /// Tickets by instance, and the arrivals that wait for one.
    pub tickets: Vec<Tickets>,
    /// Last counters by instance.
    pub last_counters: Vec<Option<CallCounters>>,
    /// Whether the end has been noted.
    pub is_finished: bool,
    /// What has come back.
    pub stats: Stats,
}

/// A request whose end is awaited.
#[derive(Clone, Copy, Debug)]
pub struct InFlightRequest {
    /// When it was due.
    pub due_at: Instant,
    /// When it was sent.
    pub sent_at: Instant,
}

/// Tickets of one instance.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    /// Tickets that are not used yet.
    pub unused: Vec<String>,
    /// Arrivals that wait for a ticket.
    pub waiting_arrivals: Vec<Arrival>,
    /// Whether tickets have been asked for.
    pub is_fetching: bool,
}

/// What came of the requests of a load.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct OutcomeCounts {
    /// Answers with every service.
    pub complete_count: u64,
    /// Answers with some services missing.
    pub partial_count: u64,
    /// Refusals by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Unknown outcomes by reason.
    pub unknowns: BTreeMap<String, u64>,
    /// Requests without an answer that could be read.
    pub failed_count: u64,
    /// Results that did not repeat their query.
    pub mixed_up_count: u64,
    /// Answers whose coverage disagrees with their results.
    pub untrue_count: u64,
}

/// What has come back.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Time from the scheduled arrival to the answer.
    pub latency: Histogram<u64>,
    /// Time from the sending to the answer.
    pub service_time: Histogram<u64>,
    /// Time from the sending of a direct call to its reply.
    pub direct: Histogram<u64>,
    /// What came of the requests.
    pub outcomes: OutcomeCounts,
    /// Course of the load by second.
    pub seconds: Vec<Second>,
}

/// One second of the load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    /// Answers that arrived.
    pub answers_count: u64,
    /// Services in them.
    pub answered_count: u64,
    /// Services asked for them.
    pub total_count: u64,
    /// Requests that failed, were refused or are of unknown outcome.
    pub unanswered_count: u64,
    /// Longest latency, in microseconds.
    pub latency_max_us: u64,
    /// Calls that the instances sent.
    pub calls: CallCounters,
}

/// Returns the state of a load that begins now.
///
/// # Errors
///
/// Returns an error if latencies cannot be counted.
pub fn new(options: &Options, now: Instant) -> Result<State, LoadError> {
    let instances_count = options.instances.len();
    Ok(State {
        options: options.clone(),
        schedule: schedule::new(options, now),
        started_at: now,
        in_flight: SlotMap::with_key(),
        tickets: vec![Tickets::default(); instances_count],
        last_counters: vec![None; options.operators.len()],
        is_finished: false,
        stats: Stats {
            latency: histogram()?,
            service_time: histogram()?,
            direct: histogram()?,
            outcomes: OutcomeCounts::default(),
            seconds: Vec::new(),
        },
    })
}

fn histogram() -> Result<Histogram<u64>, LoadError> {
    Histogram::new_with_bounds(1, LATENCY_MAX_US, LATENCY_DIGITS)
        .map_err(|error| LoadError::Histogram(error.to_string()))
}
