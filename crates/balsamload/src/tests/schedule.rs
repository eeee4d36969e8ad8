//! Tests of arrivals and tickets.

use std::time::{Duration, Instant};

use super::fixture::{new_state, options, process_event, sent_requests};
use crate::{
    event::{Effect, Event},
    options::Options,
    state::State,
};

#[test]
fn arrivals_are_sent_without_waiting_for_answers() {
    let now = Instant::now();
    let mut state = new_state(&options(), now);
    process_event(&mut state, now, Event::Started);
    let out = process_event(&mut state, now + Duration::from_secs(2), Event::ArrivalDue);
    let count = sent_requests(&out).len();
    assert!(
        (60..140).contains(&count),
        "{count} arrivals instead of about 100"
    );
    assert!(!out.contains(&Effect::Finish));
}

#[test]
fn same_seed_gives_the_same_schedule() {
    let now = Instant::now();
    let run = || {
        let mut state = new_state(&options(), now);
        process_event(&mut state, now + Duration::from_secs(2), Event::ArrivalDue)
    };
    assert_eq!(run(), run());
}

#[test]
fn at_most_once_request_is_sent_when_a_ticket_is_available() {
    let (mut state, later) = new_at_most_once_load();
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
fn waiting_requests_fail_if_no_tickets_are_issued() {
    let (mut state, later) = new_at_most_once_load();
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

/// Returns a started load of at-most-once requests only, and a time at which all arrivals are due.
fn new_at_most_once_load() -> (State, Instant) {
    let now = Instant::now();
    let options = Options {
        once_percent: 100,
        ..options()
    };
    let mut state = new_state(&options, now);
    process_event(&mut state, now, Event::Started);
    (state, now + Duration::from_secs(2))
}
