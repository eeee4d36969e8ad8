//! The reducer's processor time, events and allocations for each query.

use std::{collections::VecDeque, time::Duration};

use crate::instance::{Instance, ask, open, pass, reply, reset};

/// Service calls that each batch makes at least.
const CALLS_PER_BATCH_COUNT: u32 = 4_000;
/// Batches of which the fastest counts, because noise only ever adds time.
const BATCHES_COUNT: u32 = 9;
/// Time that a query is in flight.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(1);
/// Services of a query, where something else grows.
const SERVICES_COUNT: u32 = 20;

/// The quantities of every sweep of this module.
pub const QUANTITIES: &[&str] = &[
    "us_per_query",
    "ns_per_event",
    "events_per_query",
    "allocations_per_query",
];

/// Cost against the targets of the configuration.
pub fn by_targets(targets_count: u32) -> Vec<f64> {
    cost(targets_count, 5, 1)
}

/// Cost against the services that a query asks.
pub fn by_services(services_count: u32) -> Vec<f64> {
    cost(2 * services_count, services_count, 1)
}

/// Cost against the queries in flight.
pub fn by_queries(queries_count: u32) -> Vec<f64> {
    cost(2 * SERVICES_COUNT, SERVICES_COUNT, queries_count)
}

fn cost(targets_count: u32, services_count: u32, in_flight_count: u32) -> Vec<f64> {
    let mut instance = open(targets_count, services_count);
    let mut running = VecDeque::new();
    for _ in 0..in_flight_count {
        let calls = ask(&mut instance);
        running.push_back(calls);
    }
    let queries_count = (CALLS_PER_BATCH_COUNT / services_count).max(1);
    let mut best = Duration::MAX;
    let mut events_count = 0;
    for _ in 0..BATCHES_COUNT {
        reset(&mut instance);
        exchange(&mut instance, &mut running, queries_count);
        events_count = instance.events_count;
        best = best.min(instance.spent);
    }
    let allocations = allocation_counter::measure(|| {
        exchange(&mut instance, &mut running, queries_count);
    });
    let queries_count = f64::from(queries_count);
    let spent_us = best.as_secs_f64() * 1e6;
    vec![
        spent_us / queries_count,
        spent_us * 1e3 / events_count as f64,
        events_count as f64 / queries_count,
        allocations.count_total as f64 / queries_count,
    ]
}

/// Ends the oldest query and starts another one, again and again.
fn exchange(
    instance: &mut Instance,
    running: &mut VecDeque<Vec<model::TargetCall>>,
    queries_count: u32,
) {
    let in_flight_count = u32::try_from(running.len()).unwrap_or(u32::MAX);
    let interval = IN_FLIGHT_TIME / in_flight_count;
    for _ in 0..queries_count {
        pass(instance, interval);
        let Some(calls) = running.pop_front() else {
            return;
        };
        reply(instance, &calls);
        let calls = ask(instance);
        running.push_back(calls);
    }
}
