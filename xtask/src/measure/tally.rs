//! What was measured, and the line that shows it.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use hdrhistogram::Histogram;
use model::MissingReason;
use serde::Serialize;

use crate::case::Case;

/// Highest latency that is told apart, in microseconds.
const HIGHEST_US: u64 = 120_000_000;

/// Sums over all counted requests.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests.
    pub queries_count: u64,
    /// Requests that were not run.
    pub refused_count: u64,
    /// The same by priority.
    pub refused_counts: [u64; 3],
    /// Requests with an answer.
    pub ran_count: u64,
    /// Answers of full coverage.
    pub complete_count: u64,
    /// Sum of the coverage of all answers.
    pub coverage_sum: f64,
    /// Latency of all answers.
    pub latency_us: Histogram<u64>,
    /// The same by priority.
    pub latencies_us: [Histogram<u64>; 3],
    /// Calls to targets.
    pub calls_count: u64,
    /// Calls to a service that the request had called before.
    pub repeated_calls_count: u64,
    /// Calls for requests that had been answered.
    pub calls_for_finished_count: u64,
    /// Answers to requests that had been answered.
    pub doubled_answers_count: u64,
    /// Answers with a result of another snapshot, service or request.
    pub wrong_answers_count: u64,
    /// Services missing from answers, by reason.
    pub missing_counts: BTreeMap<MissingReason, u64>,
    /// Highest ratio of calls to a cold target, all instances together, to what it bears.
    pub max_cold_overload_ratio: f64,
    /// Results of every answer by number of the request, if they are to be kept.
    pub kept_results: Option<BTreeMap<u64, Vec<Bytes>>>,
    /// Events that the policy took in.
    pub events_count: u64,
    /// Time that the policy took for them.
    pub reduce_time: Duration,
}

impl Default for Tally {
    fn default() -> Tally {
        let histogram = || {
            let histogram = Histogram::new_with_max(HIGHEST_US, 3);
            histogram.expect("the bounds are constant and valid")
        };
        Tally {
            queries_count: 0,
            refused_count: 0,
            refused_counts: [0; 3],
            ran_count: 0,
            complete_count: 0,
            coverage_sum: 0.0,
            latency_us: histogram(),
            latencies_us: [histogram(), histogram(), histogram()],
            calls_count: 0,
            repeated_calls_count: 0,
            calls_for_finished_count: 0,
            doubled_answers_count: 0,
            wrong_answers_count: 0,
            missing_counts: BTreeMap::new(),
            max_cold_overload_ratio: 0.0,
            kept_results: None,
            events_count: 0,
            reduce_time: Duration::ZERO,
        }
    }
}

/// The figures of one case and policy.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Figures {
    /// Name of the case.
    pub case: String,
    /// Name of the policy.
    pub policy: &'static str,
    /// Requests.
    pub queries: u64,
    /// Median latency of answers.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Mean coverage of answers.
    pub coverage: f64,
    /// Share of answers with full coverage.
    pub complete_ratio: f64,
    /// Repeated calls for each first call.
    pub extra_load_ratio: f64,
    /// Share of requests that were not run.
    pub refused_ratio: f64,
    /// Highest ratio of load to bearable load of a cold target.
    pub max_cold_overload_ratio: f64,
    /// Time of the reducer for an event.
    pub reduce_ns_per_event: f64,
    /// Events for each request.
    pub events_per_query: f64,
    /// Figures that only the JSON form shows.
    pub more: More,
}

/// Figures that only the JSON form shows.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct More {
    /// What the case shows.
    pub about: String,
    /// 99th percentile of latency of urgent, normal and deferrable requests.
    pub p99_ms_by_priority: [f64; 3],
    /// Answers of urgent, normal and deferrable requests.
    pub answers_by_priority: [u64; 3],
    /// Refused urgent, normal and deferrable requests.
    pub refused_by_priority: [u64; 3],
    /// Complete answers a second, as a share of the capacity.
    pub goodput_ratio: f64,
    /// Events for each call to a service.
    pub events_per_call: f64,
    /// Answers with a result of another snapshot, service or request.
    pub wrong_answers: u64,
    /// Answers to requests that had been answered.
    pub doubled_answers: u64,
    /// Calls for requests that had been answered.
    pub calls_for_finished: u64,
    /// Services missing from answers, by reason.
    pub missing: BTreeMap<MissingReason, u64>,
}

/// Works out the figures; `capacity_count` is the number of requests that the slots could serve.
pub fn figures(tally: &Tally, case: &Case, policy: &'static str, capacity_count: f64) -> Figures {
    let quantile = |histogram: &Histogram<u64>, ratio| {
        round(histogram.value_at_quantile(ratio) as f64 / 1000.0)
    };
    let events = tally.events_count as f64;
    let first_calls_count = tally.calls_count - tally.repeated_calls_count;
    Figures {
        case: case.name.clone(),
        policy,
        queries: tally.queries_count,
        p50_ms: quantile(&tally.latency_us, 0.5),
        p99_ms: quantile(&tally.latency_us, 0.99),
        p999_ms: quantile(&tally.latency_us, 0.999),
        coverage: round(tally.coverage_sum / tally.ran_count as f64),
        complete_ratio: ratio(tally.complete_count, tally.ran_count),
        extra_load_ratio: ratio(tally.repeated_calls_count, first_calls_count),
        refused_ratio: ratio(tally.refused_count, tally.queries_count),
        max_cold_overload_ratio: round(tally.max_cold_overload_ratio),
        reduce_ns_per_event: (tally.reduce_time.as_nanos() as f64 / events).round(),
        events_per_query: round(events / tally.queries_count as f64),
        more: More {
            about: case.about.clone(),
            p99_ms_by_priority: [0, 1, 2].map(|p| quantile(&tally.latencies_us[p], 0.99)),
            answers_by_priority: [0, 1, 2].map(|p| tally.latencies_us[p].len()),
            refused_by_priority: tally.refused_counts,
            goodput_ratio: round(tally.complete_count as f64 / capacity_count),
            events_per_call: round(events / tally.calls_count as f64),
            wrong_answers: tally.wrong_answers_count,
            doubled_answers: tally.doubled_answers_count,
            calls_for_finished: tally.calls_for_finished_count,
            missing: tally.missing_counts.clone(),
        },
    }
}

/// Tells whether a promise was broken that holds whatever the case.
pub fn is_broken(figures: &Figures) -> bool {
    let more = &figures.more;
    more.wrong_answers + more.doubled_answers + more.calls_for_finished > 0
}

/// Returns the figures as one line.
pub fn line(figures: &Figures) -> String {
    let Figures {
        case,
        policy,
        queries,
        p50_ms,
        p99_ms,
        p999_ms,
        coverage,
        complete_ratio,
        extra_load_ratio,
        refused_ratio,
        max_cold_overload_ratio,
        reduce_ns_per_event,
        events_per_query,
        more: _,
    } = figures;
    format!(
        "case={case} policy={policy} queries={queries} p50_ms={p50_ms} p99_ms={p99_ms} \
         p999_ms={p999_ms} coverage={coverage} complete_ratio={complete_ratio} \
         extra_load_ratio={extra_load_ratio} refused_ratio={refused_ratio} \
         max_cold_overload_ratio={max_cold_overload_ratio} \
         reduce_ns_per_event={reduce_ns_per_event} events_per_query={events_per_query}"
    )
}

fn ratio(part: u64, whole: u64) -> f64 {
    round(part as f64 / whole.max(1) as f64)
}

fn round(value: f64) -> f64 {
    (value * 100_000.0).round() / 100_000.0
}
