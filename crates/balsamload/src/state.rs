//! State of the load: requests in flight, tickets and measurements.

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

/// Upper bound of the histograms; longer latencies are recorded as this.
const LATENCY_MAX_US: u64 = 600_000_000;
/// Significant digits of a recorded latency.
const LATENCY_DIGITS: u8 = 3;

/// The reducer's state.
#[derive(Clone, Debug)]
pub struct State {
    /// The load to generate.
    pub options: Options,
    /// Schedule of arrivals.
    pub schedule: Schedule,
    /// When the load started.
    pub started_at: Instant,
    /// Requests and direct calls that have been sent and not ended yet.
    pub in_flight: SlotMap<RequestKey, InFlightRequest>,
    /// Tickets and arrivals that wait for one, by instance.
    pub tickets: Vec<Tickets>,
    /// Counters at the last read, by operator port; absent before the first read.
    pub last_counters: Vec<Option<CallCounters>>,
    /// Whether [`crate::event::Effect::Finish`] has been issued.
    pub is_finished: bool,
    /// Measurements.
    pub stats: Stats,
}

/// A request or direct call that has been sent and not ended yet.
#[derive(Clone, Copy, Debug)]
pub struct InFlightRequest {
    /// Scheduled arrival, from which latency is measured.
    pub due_at: Instant,
    /// When it was sent; later than `due_at` if it waited for a ticket or the timer was late.
    pub sent_at: Instant,
}

/// Tickets of one instance.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    /// Fetched tickets that have not been used.
    pub unused: Vec<String>,
    /// Arrivals that wait for a ticket, oldest first.
    pub waiting_arrivals: Vec<Arrival>,
    /// Whether a fetch is in progress.
    pub is_fetching: bool,
}

/// Number of requests by outcome.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct OutcomeCounts {
    /// Answers with results of all services.
    pub complete_count: u64,
    /// Answers in which services are missing.
    pub partial_count: u64,
    /// Requests that were not run, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Requests that may or may not have run, by reason.
    pub unknowns: BTreeMap<String, u64>,
    /// Requests without a readable answer or ticket, and direct calls that were not executed.
    pub failed_count: u64,
    /// Results that did not echo their query.
    pub mixed_up_count: u64,
    /// Answers whose coverage does not match their results.
    pub untrue_count: u64,
}

/// Measurements of a load.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Time from the scheduled arrival to the answer.
    pub latency: Histogram<u64>,
    /// Time from sending to the answer.
    pub service_time: Histogram<u64>,
    /// Time from sending a direct call to its reply.
    pub direct: Histogram<u64>,
    /// Number of requests by outcome.
    pub outcomes: OutcomeCounts,
    /// Measurements by second since the start; an entry covers what ended in that second.
    pub seconds: Vec<Second>,
}

/// Measurements of one second of the load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    /// Answers, complete or partial.
    pub answers_count: u64,
    /// Services whose results are in these answers.
    pub answered_count: u64,
    /// Services that should have contributed to these answers.
    pub total_count: u64,
    /// Requests that failed, were refused or are of unknown outcome.
    pub unanswered_count: u64,
    /// Longest latency of these answers.
    pub latency_max_us: u64,
    /// Calls that the instances sent to targets.
    pub calls: CallCounters,
}

/// Creates the state of a load that starts now.
///
/// # Errors
///
/// Returns an error if a histogram cannot be created.
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
