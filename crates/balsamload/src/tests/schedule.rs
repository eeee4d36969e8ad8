//! Tests of the schedule.

use std::time::{Duration, Instant};

use super::fixture::{new_state, options, process_event, sent_requests};
use crate::{
    event::{Effect, Event},
    options::Options,
    state::State,
};

#[test]
fn arrivals_do_not_wait_for_replies() {
    let now = Instant::now();
    let mut state = new_state(&options(), now);
    process_event(&mut state, now, Event::Started);
    let out = process_event(&mut state, now + Duration::from_secs(2), Event::ArrivalDue);
    let count = sent_requests(&out).len();
    assert!((60..140).contains(&count), "{count} of about 100 arrivals");
    assert!(!out.contains(&Effect::Finish));
}

#[test]
fn the_same_seed_gives_the_same_schedule() {
    let now = Instant::now();
    let run = || {
        let mut state = new_state(&options(), now);
        process_event(&mut state, now + Duration::from_secs(2), Event::ArrivalDue)
    };
    assert_eq!(run(), run());
}

#[test]
fn a_request_that_runs_once_waits_for_its_ticket() {
    let (mut state, later) = open_with_orders();
    assert!(sent_requests(&process_event(&mut state, later, Event::ArrivalDue)).is_empty());
    let tickets = ["t-1".to_owned(), "t-2".to_owned()];
    let event = Event::TicketsReceived {
        instance: 0,
        tickets: &tickets,
    };
    assert_eq!(
        sent_requests(&process_event(&mut state, later, event)).len(),
        2
    );
}

#[test]
fn requests_without_a_ticket_fail() {
    let (mut state, later) = open_with_orders();
    process_event(&mut state, later, Event::ArrivalDue);
    let event = Event::TicketsReceived {
        instance: 0,
        tickets: &[],
    };
    let out = process_event(&mut state, later, event);
    assert_eq!(
        state.stats.outcomes.failed_count,
        state.schedule.arrivals_count
    );
    assert!(out.contains(&Effect::Finish));
}

/// Returns a load of requests that all need a ticket, and a moment when it is over.
fn open_with_orders() -> (State, Instant) {
    let now = Instant::now();
    let options = Options {
        once_percent: 100,
        ..options()
    };
    let mut state = new_state(&options, now);
    process_event(&mut state, now, Event::Started);
    (state, now + Duration::from_secs(2))
}
