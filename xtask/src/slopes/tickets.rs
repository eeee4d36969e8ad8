//! Measures the heap and processor time of requests that run at most once.

use model::{CallerKey, Effect, Event, ExecutionKind};
use slotmap::KeyData;

use crate::{
    fixtures,
    simulated_instance::{
        SimulatedInstance, answer_calls, query_request, reduce_events, reset_counters,
        send_request, start_ready,
    },
};

const TARGETS_COUNT: u32 = 40;

/// The quantities of [`by_tickets`]; an order is a once-only request.
pub const QUANTITIES: &[&str] = &["state_bytes", "us_per_order"];

/// Measures the heap held by used tickets and the time of a once-only request, by number of used
/// tickets.
pub fn by_tickets(tickets_count: u32) -> Vec<f64> {
    let mut instance = start_ready(TARGETS_COUNT, TARGETS_COUNT / 2);
    let tickets = issue_tickets(&mut instance, tickets_count);
    reset_counters(&mut instance);
    instance.effects = Vec::new();
    let allocations = allocation_counter::measure(|| {
        for ticket in &tickets {
            run_once_request(&mut instance, ticket);
        }
        instance.effects = Vec::new();
    });
    let us_per_order = instance.reducer_time.as_secs_f64() * 1e6 / f64::from(tickets_count);
    vec![allocations.bytes_current as f64, us_per_order]
}

fn issue_tickets(instance: &mut SimulatedInstance, count: u32) -> Vec<String> {
    let caller: CallerKey = KeyData::from_ffi(1 << 32).into();
    reduce_events(instance, [Event::TicketsRequested { caller, count }]);
    let tickets = instance.effects.iter().find_map(|effect| match effect {
        Effect::Tickets { tickets, .. } => Some(tickets.clone()),
        _ => None,
    });
    tickets.expect("an instance that is not leaving issues tickets")
}

/// Sends a once-only request and answers all of its calls.
fn run_once_request(instance: &mut SimulatedInstance, ticket: &str) {
    let service = fixtures::service_name(0);
    let mut request = query_request();
    request.service = Some(&service);
    request.kind = ExecutionKind::Once { ticket };
    let calls = send_request(instance, request);
    answer_calls(instance, &calls);
}
