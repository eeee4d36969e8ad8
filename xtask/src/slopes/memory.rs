//! The heap that the state of an instance holds, and the cost of a new configuration.

use bytes::Bytes;

use crate::{
    fixtures,
    instance::{Platform, ask, join, open},
};

/// Services of a query, where something else grows.
const SERVICES_COUNT: u32 = 20;
/// Repetitions of which the fastest counts, because noise only ever adds time.
const REPETITIONS_COUNT: u32 = 5;

/// Quantities of [`by_targets`].
pub const TARGET_QUANTITIES: &[&str] = &["state_bytes", "note_bytes", "accept_us"];
/// Quantities of [`by_queries`] and [`by_services`].
pub const QUERY_QUANTITIES: &[&str] = &["state_bytes"];

/// Heap, size of the published note and time to accept it, against the targets.
pub fn by_targets(targets_count: u32) -> Vec<f64> {
    let platform = Platform {
        note: fixtures::encoded(&fixtures::note(targets_count, 5)),
        instances: Bytes::from_static(b"[]"),
    };
    let mut kept = Vec::new();
    let allocations = allocation_counter::measure(|| {
        let mut instance = join(platform.clone());
        instance.out = Vec::new();
        kept.push(instance);
    });
    let accept_us = (0..REPETITIONS_COUNT)
        .map(|_| join(platform.clone()).spent.as_secs_f64() * 1e6)
        .fold(f64::MAX, f64::min);
    vec![
        allocations.bytes_current as f64,
        platform.note.len() as f64,
        accept_us,
    ]
}

/// Heap that queries in flight hold, against their number.
pub fn by_queries(queries_count: u32) -> Vec<f64> {
    vec![held_by_queries(SERVICES_COUNT, queries_count)]
}

/// Heap that one query in flight holds, against its services.
pub fn by_services(services_count: u32) -> Vec<f64> {
    const QUERIES_COUNT: u32 = 64;
    vec![held_by_queries(services_count, QUERIES_COUNT) / f64::from(QUERIES_COUNT)]
}

fn held_by_queries(services_count: u32, queries_count: u32) -> f64 {
    let mut instance = open(2 * services_count, services_count);
    instance.out = Vec::new();
    let allocations = allocation_counter::measure(|| {
        for _ in 0..queries_count {
            ask(&mut instance);
        }
        instance.out = Vec::new();
    });
    allocations.bytes_current as f64
}
