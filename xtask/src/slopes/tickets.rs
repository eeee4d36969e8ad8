//! The heap and the time that requests which run once cost.

use model::{CallerKey, Effect, Event, Kind};
use slotmap::KeyData;

use crate::{
    fixtures,
    instance::{Instance, ask_for, feed, open, reply, request, reset},
};

/// Targets of the configuration.
const TARGETS_COUNT: u32 = 40;

/// The quantities of [`by_tickets`].
pub const QUANTITIES: &[&str] = &["state_bytes", "us_per_order"];

/// Heap that used tickets hold and time of an order, against the used tickets.
pub fn by_tickets(tickets_count: u32) -> Vec<f64> {
    let mut instance = open(TARGETS_COUNT, TARGETS_COUNT / 2);
    let tickets = wanted(&mut instance, tickets_count);
    reset(&mut instance);
    instance.out = Vec::new();
    let allocations = allocation_counter::measure(|| {
        for ticket in &tickets {
            order(&mut instance, ticket);
        }
        instance.out = Vec::new();
    });
    let us_per_order = instance.spent.as_secs_f64() * 1e6 / f64::from(tickets_count);
    vec![allocations.bytes_current as f64, us_per_order]
}

fn wanted(instance: &mut Instance, count: u32) -> Vec<String> {
    let caller: CallerKey = KeyData::from_ffi(1 << 32).into();
    feed(instance, [Event::TicketsWanted { caller, count }]);
    let tickets = instance.out.iter().find_map(|effect| match effect {
        Effect::Tickets { tickets, .. } => Some(tickets.clone()),
        _ => None,
    });
    tickets.expect("an instance that is not leaving issues tickets")
}

/// Runs one order to its end.
fn order(instance: &mut Instance, ticket: &str) {
    let service = fixtures::service_name(0);
    let mut order = request();
    order.service = Some(&service);
    order.kind = Kind::Once { ticket };
    let calls = ask_for(instance, order);
    reply(instance, &calls);
}
