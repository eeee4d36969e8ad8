//! Counters and latencies of a run, and the results that are computed from them.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use hdrhistogram::Histogram;
use model::MissingReason;
use serde::Serialize;

use crate::case::Case;

/// Highest latency that the histograms record, in microseconds; higher ones count as this one.
const LATENCY_MAX_US: u64 = 120_000_000;

/// Counters and latencies of a run. Requests that arrive before the case's `measure_from` count
/// only towards `calls_for_finished_count`, `doubled_answers_count`, `wrong_answers_count`,
/// `max_cold_overload_ratio`, `recorded_results`, `events_count` and `reduce_time`.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Requests that arrived.
    pub queries_count: u64,
    /// Requests that were answered as not run and without a result.
    pub refused_count: u64,
    /// `refused_count` by priority: urgent, normal, deferrable.
    pub refused_count_by_priority: [u64; 3],
    /// Requests that were answered and not refused.
    pub ran_count: u64,
    /// Answers with full coverage.
    pub complete_count: u64,
    /// Sum of the coverage ratios of all answers that were not refusals.
    pub coverage_sum: f64,
    /// Latency of all answers that were not refusals.
    pub latency_us: Histogram<u64>,
    /// `latency_us` by priority: urgent, normal, deferrable.
    pub latency_us_by_priority: [Histogram<u64>; 3],
    /// Calls to targets.
    pub calls_count: u64,
    /// Second and further calls of a request to the same service: retries and hedges.
    pub repeated_calls_count: u64,
    /// Calls for requests that had already been answered, which is an error of the policy.
    pub calls_for_finished_count: u64,
    /// Second and further answers to the same request, which is an error of the policy.
    pub doubled_answers_count: u64,
    /// Answers with a result of another snapshot, service or request.
    pub wrong_answers_count: u64,
    /// Services missing from answers, by reason.
    pub missing_counts: BTreeMap<MissingReason, u64>,
    /// Highest ratio of concurrent calls at a target in cold start to its `cold_bearable_count`.
    /// The calls of the simulated instance are multiplied by the number of instances.
    pub max_cold_overload_ratio: f64,
    /// Results of every answer by number of the request; `None` if they are not recorded.
    pub recorded_results: Option<BTreeMap<u64, Vec<Bytes>>>,
    /// Events that the policy handled, without deliveries from the platform.
    pub events_count: u64,
    /// Execution time of the policy for these events, by the real clock.
    pub reduce_time: Duration,
}

impl Default for Stats {
    fn default() -> Stats {
        let histogram = || {
            let histogram = Histogram::new_with_max(LATENCY_MAX_US, 3);
            histogram.expect("the bounds are constant and valid")
        };
        Stats {
            queries_count: 0,
            refused_count: 0,
            refused_count_by_priority: [0; 3],
            ran_count: 0,
            complete_count: 0,
            coverage_sum: 0.0,
            latency_us: histogram(),
            latency_us_by_priority: [histogram(), histogram(), histogram()],
            calls_count: 0,
            repeated_calls_count: 0,
            calls_for_finished_count: 0,
            doubled_answers_count: 0,
            wrong_answers_count: 0,
            missing_counts: BTreeMap::new(),
            max_cold_overload_ratio: 0.0,
            recorded_results: None,
            events_count: 0,
            reduce_time: Duration::ZERO,
        }
    }
}

/// The results of one case and policy; the field names are the keys of the output.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Summary {
    /// Name of the case.
    pub case: String,
    /// Name of the policy.
    pub policy: &'static str,
    /// Number of requests.
    pub queries: u64,
    /// Median latency of answers.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency.
    pub p999_ms: f64,
    /// Mean coverage ratio of answers.
    pub coverage: f64,
    /// Share of answers with full coverage.
    pub complete_ratio: f64,
    /// Retries and hedges per first call.
    pub extra_load_ratio: f64,
    /// Share of requests that were refused.
    pub refused_ratio: f64,
    /// Highest ratio of concurrent calls to `cold_bearable_count` at a target in cold start.
    pub max_cold_overload_ratio: f64,
    /// Mean execution time of the policy's reducer per event, by the real clock.
    pub reduce_ns_per_event: f64,
    /// Events handled by the policy per request.
    pub events_per_query: f64,
    /// Further results, printed only as JSON.
    pub more: Details,
}

/// Results that are printed only as JSON.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Details {
    /// What the case demonstrates.
    pub about: String,
    /// 99th percentile of latency of urgent, normal and deferrable requests.
    pub p99_ms_by_priority: [f64; 3],
    /// Answers to urgent, normal and deferrable requests, without refusals.
    pub answers_by_priority: [u64; 3],
    /// Refused urgent, normal and deferrable requests.
    pub refused_by_priority: [u64; 3],
    /// Complete answers as a share of the requests that the capacity allows.
    pub goodput_ratio: f64,
    /// Events handled by the policy per call.
    pub events_per_call: f64,
    /// Answers with a result of another snapshot, service or request.
    pub wrong_answers: u64,
    /// Second and further answers to the same request.
    pub doubled_answers: u64,
    /// Calls for requests that had already been answered.
    pub calls_for_finished: u64,
    /// Services missing from answers, by reason.
    pub missing: BTreeMap<MissingReason, u64>,
}

/// Computes the results; `capacity_count` is the number of requests that the fleet could serve in
/// the measured time.
pub fn summarize(stats: &Stats, case: &Case, policy: &'static str, capacity_count: f64) -> Summary {
    let quantile = |histogram: &Histogram<u64>, ratio| {
        round(histogram.value_at_quantile(ratio) as f64 / 1000.0)
    };
    let events = stats.events_count as f64;
    let first_calls_count = stats.calls_count - stats.repeated_calls_count;
    Summary {
        case: case.name.clone(),
        policy,
        queries: stats.queries_count,
        p50_ms: quantile(&stats.latency_us, 0.5),
        p99_ms: quantile(&stats.latency_us, 0.99),
        p999_ms: quantile(&stats.latency_us, 0.999),
        coverage: round(stats.coverage_sum / stats.ran_count as f64),
        complete_ratio: ratio(stats.complete_count, stats.ran_count),
        extra_load_ratio: ratio(stats.repeated_calls_count, first_calls_count),
        refused_ratio: ratio(stats.refused_count, stats.queries_count),
        max_cold_overload_ratio: round(stats.max_cold_overload_ratio),
        reduce_ns_per_event: (stats.reduce_time.as_nanos() as f64 / events).round(),
        events_per_query: round(events / stats.queries_count as f64),
        more: Details {
            about: case.about.clone(),
            p99_ms_by_priority: [0, 1, 2].map(|p| quantile(&stats.latency_us_by_priority[p], 0.99)),
            answers_by_priority: [0, 1, 2].map(|p| stats.latency_us_by_priority[p].len()),
            refused_by_priority: stats.refused_count_by_priority,
            goodput_ratio: round(stats.complete_count as f64 / capacity_count),
            events_per_call: round(events / stats.calls_count as f64),
            wrong_answers: stats.wrong_answers_count,
            doubled_answers: stats.doubled_answers_count,
            calls_for_finished: stats.calls_for_finished_count,
            missing: stats.missing_counts.clone(),
        },
    }
}

/// Returns whether an invariant of answers is violated that every case must keep.
pub fn has_invalid_answers(summary: &Summary) -> bool {
    let more = &summary.more;
    more.wrong_answers + more.doubled_answers + more.calls_for_finished > 0
}

/// Formats the results as one line of key=value pairs, without [`Details`].
pub fn format_line(summary: &Summary) -> String {
    let Summary {
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
    } = summary;
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
