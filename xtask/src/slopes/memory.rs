//! Measures the heap held by the state of an instance, and the cost of accepting a configuration.

use bytes::Bytes;

use crate::{
    fixtures,
    simulated_instance::{Platform, send_query, start, start_ready},
};

/// Services of a query in sweeps of another parameter.
const SERVICES_PER_QUERY_COUNT: u32 = 20;
/// Repetitions; the fastest one counts, because noise only adds time.
const REPETITIONS_COUNT: u32 = 5;

/// Quantities of [`by_targets`].
pub const TARGET_QUANTITIES: &[&str] = &["state_bytes", "note_bytes", "accept_us"];
/// Quantities of [`by_queries`] and [`by_services`].
pub const QUERY_QUANTITIES: &[&str] = &["state_bytes"];

/// Measures the heap, the size of the encoded note and the reducer's time to accept it, by number
/// of targets. The time includes start-up and the first load reports.
pub fn by_targets(targets_count: u32) -> Vec<f64> {
    let platform = Platform {
        note: fixtures::encode_note(&fixtures::note(targets_count, 5)),
        instances: Bytes::from_static(b"[]"),
    };
    let mut instances = Vec::new();
    let allocations = allocation_counter::measure(|| {
        let mut instance = start(platform.clone());
        instance.effects = Vec::new();
        instances.push(instance);
    });
    let accept_us = (0..REPETITIONS_COUNT)
        .map(|_| start(platform.clone()).reducer_time.as_secs_f64() * 1e6)
        .fold(f64::MAX, f64::min);
    vec![
        allocations.bytes_current as f64,
        platform.note.len() as f64,
        accept_us,
    ]
}

/// Measures the heap held by all queries in flight, by their number.
pub fn by_queries(queries_count: u32) -> Vec<f64> {
    vec![query_heap_bytes(SERVICES_PER_QUERY_COUNT, queries_count)]
}

/// Measures the heap held by one query in flight, by the number of its services.
pub fn by_services(services_count: u32) -> Vec<f64> {
    const QUERIES_COUNT: u32 = 64;
    vec![query_heap_bytes(services_count, QUERIES_COUNT) / f64::from(QUERIES_COUNT)]
}

fn query_heap_bytes(services_count: u32, queries_count: u32) -> f64 {
    let mut instance = start_ready(2 * services_count, services_count);
    instance.effects = Vec::new();
    let allocations = allocation_counter::measure(|| {
        for _ in 0..queries_count {
            send_query(&mut instance);
        }
        instance.effects = Vec::new();
    });
    allocations.bytes_current as f64
}
