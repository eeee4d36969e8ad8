//! One order, every schedule up to a depth: sends, resends, crashes, losses and doubled messages.

use super::world::{Fate, Pending, World, ask, happen, issue, restart, world};

/// Steps of the longest schedules that are played.
const DEPTH: usize = 6;

const CALL_FATES: &[Fate] = &[
    Fate::Arrive,
    Fate::Lose,
    Fate::ExecuteAndLose,
    Fate::Decline,
];
const MESSAGE_FATES: &[Fate] = &[Fate::Arrive, Fate::ArriveTwice, Fate::Lose];
const OTHER_FATES: &[Fate] = &[Fate::Arrive];

/// What may still be done besides what is pending.
#[derive(Clone, Copy)]
struct Budget {
    sends_count: [u32; 2],
    restarts_count: u32,
}

/// Plays every continuation of a schedule; returns the number of states that were visited.
fn explore(world: &World, ticket: &str, budget: Budget, depth: usize) -> u64 {
    if depth == 0 {
        return 1;
    }
    let mut visited_count = 1;
    for index in 0..2 {
        if budget.sends_count[index] == 0 {
            continue;
        }
        let mut next = world.clone();
        let mut left = budget;
        left.sends_count[index] -= 1;
        ask(&mut next, index, "order", Some(ticket));
        visited_count += explore(&next, ticket, left, depth - 1);
    }
    if budget.restarts_count > 0 {
        for index in 0..2 {
            let mut next = world.clone();
            let mut left = budget;
            left.restarts_count -= 1;
            restart(&mut next, index);
            visited_count += explore(&next, ticket, left, depth - 1);
        }
    }
    for position in 0..world.pending.len() {
        for &fate in fates(&world.pending[position]) {
            let mut next = world.clone();
            happen(&mut next, position, fate);
            visited_count += explore(&next, ticket, budget, depth - 1);
        }
    }
    visited_count
}

fn fates(pending: &Pending) -> &'static [Fate] {
    match pending {
        Pending::Call(..) => CALL_FATES,
        Pending::Message(..) | Pending::Reply(..) => MESSAGE_FATES,
        Pending::Lost(..) | Pending::Timer(..) => OTHER_FATES,
    }
}

#[test]
fn every_short_schedule_keeps_the_promises() {
    let mut start = world(2);
    let ticket = issue(&mut start, 0);
    let budget = Budget {
        sends_count: [2, 2],
        restarts_count: 1,
    };
    let visited_count = explore(&start, &ticket, budget, DEPTH);
    println!("visited {visited_count} states in all schedules of {DEPTH} steps");
    assert!(visited_count > 10_000);
}
