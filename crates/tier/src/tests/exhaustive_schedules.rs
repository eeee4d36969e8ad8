//! Exhaustive search over the schedules of one order, up to a fixed depth.
//!
//! An order is an at-most-once request. Schedules contain sends, resends, restarts, and lost or
//! duplicated messages.

use super::simulation::{
    Delivery, Pending, Simulation, deliver, issue_ticket, restart, send_request, simulation,
};

/// Number of steps in the longest schedules.
const DEPTH: usize = 6;

const CALL_DELIVERIES: &[Delivery] = &[
    Delivery::Deliver,
    Delivery::Lose,
    Delivery::ExecuteThenLose,
    Delivery::Shed,
];
const MESSAGE_DELIVERIES: &[Delivery] =
    &[Delivery::Deliver, Delivery::DeliverTwice, Delivery::Lose];
const OTHER_DELIVERIES: &[Delivery] = &[Delivery::Deliver];

/// Sends by instance, and restarts, that a schedule may still contain.
#[derive(Clone, Copy)]
struct Budget {
    sends_count: [u32; 2],
    restarts_count: u32,
}

/// Explores every continuation of a schedule and returns the number of visited states.
fn explore(sim: &Simulation, ticket: &str, budget: Budget, depth: usize) -> u64 {
    if depth == 0 {
        return 1;
    }
    let mut visited_count = 1;
    for index in 0..2 {
        if budget.sends_count[index] == 0 {
            continue;
        }
        let mut next = sim.clone();
        let mut remaining = budget;
        remaining.sends_count[index] -= 1;
        send_request(&mut next, index, "order", Some(ticket));
        visited_count += explore(&next, ticket, remaining, depth - 1);
    }
    if budget.restarts_count > 0 {
        for index in 0..2 {
            let mut next = sim.clone();
            let mut remaining = budget;
            remaining.restarts_count -= 1;
            restart(&mut next, index);
            visited_count += explore(&next, ticket, remaining, depth - 1);
        }
    }
    for position in 0..sim.pending.len() {
        for &delivery in deliveries(&sim.pending[position]) {
            let mut next = sim.clone();
            deliver(&mut next, position, delivery);
            visited_count += explore(&next, ticket, budget, depth - 1);
        }
    }
    visited_count
}

fn deliveries(pending: &Pending) -> &'static [Delivery] {
    match pending {
        Pending::Call(..) => CALL_DELIVERIES,
        Pending::Message(..) | Pending::Reply(..) => MESSAGE_DELIVERIES,
        Pending::Lost(..) | Pending::Timer(..) => OTHER_DELIVERIES,
    }
}

#[test]
fn every_short_schedule_keeps_the_at_most_once_guarantees() {
    let mut start = simulation(2);
    let ticket = issue_ticket(&mut start, 0);
    let budget = Budget {
        sends_count: [2, 2],
        restarts_count: 1,
    };
    let visited_count = explore(&start, &ticket, budget, DEPTH);
    println!("visited {visited_count} states in all schedules of {DEPTH} steps");
    assert!(visited_count > 10_000);
}
