//! Measures the reducer's processor time, events and allocations per query.

use std::{collections::VecDeque, time::Duration};

use crate::simulated_instance::{
    SimulatedInstance, advance_time, answer_calls, reset_counters, send_query, start_ready,
};

/// Service calls in a batch, rounded down to whole queries; a batch has at least one query.
const CALLS_PER_BATCH_COUNT: u32 = 4_000;
/// Batches; the fastest one counts, because noise only adds time.
const BATCHES_COUNT: u32 = 9;
/// Time for which a query is in flight.
const QUERY_DURATION: Duration = Duration::from_millis(1);
/// Services of a query in sweeps of another parameter.
const SERVICES_PER_QUERY_COUNT: u32 = 20;

/// The quantities of every sweep of this module.
pub const QUANTITIES: &[&str] = &[
    "us_per_query",
    "ns_per_event",
    "events_per_query",
    "allocations_per_query",
];

/// Measures the cost by number of targets in the configuration.
pub fn by_targets(targets_count: u32) -> Vec<f64> {
    measure_cost(targets_count, 5, 1)
}

/// Measures the cost by number of services of a query.
pub fn by_services(services_count: u32) -> Vec<f64> {
    measure_cost(2 * services_count, services_count, 1)
}

/// Measures the cost by number of queries in flight.
pub fn by_queries(queries_count: u32) -> Vec<f64> {
    measure_cost(
        2 * SERVICES_PER_QUERY_COUNT,
        SERVICES_PER_QUERY_COUNT,
        queries_count,
    )
}

fn measure_cost(targets_count: u32, services_count: u32, in_flight_count: u32) -> Vec<f64> {
    let mut instance = start_ready(targets_count, services_count);
    let mut in_flight = VecDeque::new();
    for _ in 0..in_flight_count {
        let calls = send_query(&mut instance);
        in_flight.push_back(calls);
    }
    let queries_count = (CALLS_PER_BATCH_COUNT / services_count).max(1);
    let mut min_reducer_time = Duration::MAX;
    let mut events_count = 0;
    for _ in 0..BATCHES_COUNT {
        reset_counters(&mut instance);
        run_queries(&mut instance, &mut in_flight, queries_count);
        events_count = instance.events_count;
        min_reducer_time = min_reducer_time.min(instance.reducer_time);
    }
    let allocations = allocation_counter::measure(|| {
        run_queries(&mut instance, &mut in_flight, queries_count);
    });
    let queries_count = f64::from(queries_count);
    let reducer_time_us = min_reducer_time.as_secs_f64() * 1e6;
    vec![
        reducer_time_us / queries_count,
        reducer_time_us * 1e3 / events_count as f64,
        events_count as f64 / queries_count,
        allocations.count_total as f64 / queries_count,
    ]
}

/// Completes the oldest query in flight and starts another one, `queries_count` times.
fn run_queries(
    instance: &mut SimulatedInstance,
    in_flight: &mut VecDeque<Vec<model::TargetCall>>,
    queries_count: u32,
) {
    let in_flight_count = u32::try_from(in_flight.len()).unwrap_or(u32::MAX);
    let interval = QUERY_DURATION / in_flight_count;
    for _ in 0..queries_count {
        advance_time(instance, interval);
        let Some(calls) = in_flight.pop_front() else {
            return;
        };
        answer_calls(instance, &calls);
        let calls = send_query(instance);
        in_flight.push_back(calls);
    }
}
