//! Fan-out of a single query, from request to answer.

use model::{CallFailure, Event, MissingReason, NotRunReason, Outcome, Timer};

use super::fixture::{answers, caller, calls, done, feed, fixture, request};

#[test]
fn returns_all_results_in_service_order() {
    let mut fixture = fixture(3);
    feed(
        &mut fixture,
        Event::Request {
            caller: caller(1),
            request: request("parts"),
        },
    );
    let calls = calls(&fixture.out);
    assert_eq!(calls.len(), 3);
    feed(&mut fixture, done(calls[2].call, b"2"));
    feed(&mut fixture, done(calls[0].call, b"0"));
    assert!(answers(&fixture.out).is_empty());
    feed(&mut fixture, done(calls[1].call, b"1"));
    let answers = answers(&fixture.out);
    assert_eq!(answers.len(), 1);
    let (_, answer) = &answers[0];
    assert_eq!(answer.outcome, Outcome::Ran);
    assert_eq!(answer.snapshot, Some(1));
    let bodies: Vec<&[u8]> = answer.results.iter().map(|result| &*result.body).collect();
    assert_eq!(bodies, [b"0", b"1", b"2"]);
}

#[test]
fn answers_partially_at_the_deadline_and_drops_later_replies() {
    let mut fixture = fixture(2);
    feed(
        &mut fixture,
        Event::Request {
            caller: caller(1),
            request: request("parts"),
        },
    );
    let calls = calls(&fixture.out);
    let query = fixture
        .state
        .queries
        .queries
        .keys()
        .next()
        .expect("the query runs");
    feed(&mut fixture, done(calls[0].call, b"0"));
    feed(&mut fixture, Event::Timer(Timer::Deadline(query)));
    let (_, answer) = &answers(&fixture.out)[0];
    assert_eq!(
        (answer.coverage.answered_count, answer.coverage.total_count),
        (1, 2)
    );
    assert_eq!(answer.coverage.missing[0].reason, MissingReason::Late);
    feed(&mut fixture, done(calls[1].call, b"1"));
    assert!(answers(&fixture.out).is_empty());
}

#[test]
fn retries_a_lost_call_at_the_other_replica() {
    let mut fixture = fixture(1);
    feed(
        &mut fixture,
        Event::Request {
            caller: caller(1),
            request: request("parts"),
        },
    );
    let first = calls(&fixture.out).remove(0);
    let failure = CallFailure::ConnectionLost;
    feed(
        &mut fixture,
        Event::CallFailed {
            call: first.call,
            failure,
        },
    );
    let second = calls(&fixture.out).remove(0);
    assert_ne!(first.target, second.target);
    feed(&mut fixture, done(second.call, b"0"));
    assert_eq!(answers(&fixture.out)[0].1.coverage.answered_count, 1);
}

#[test]
fn refuses_an_unknown_front() {
    let mut fixture = fixture(1);
    feed(
        &mut fixture,
        Event::Request {
            caller: caller(1),
            request: request("fittings"),
        },
    );
    let (_, answer) = &answers(&fixture.out)[0];
    assert_eq!(answer.outcome, Outcome::NotRun(NotRunReason::UnknownFront));
}
