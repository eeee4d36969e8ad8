//! Quarantine of requests that crash targets, at a single instance.

use std::time::Duration;

use model::{CallFailure, Event, NotRunReason, Outcome, RequestView};

use super::fixture::{Fixture, answers, caller, calls, done, feed, fixture, note, report, request};

const LOST: CallFailure = CallFailure::ConnectionLost;

fn send_request(fixture: &mut Fixture, number: u64, request: RequestView<'_>) {
    fixture.now += Duration::from_millis(1);
    let caller = caller(number);
    feed(fixture, Event::Request { caller, request });
}

/// Loses the target of the call just sent; returns the number of retries.
fn lose_target(fixture: &mut Fixture) -> usize {
    let call = calls(&fixture.out).remove(0).call;
    fixture.now += Duration::from_millis(1);
    let failure = LOST;
    feed(fixture, Event::CallFailed { call, failure });
    calls(&fixture.out).len()
}

#[test]
fn a_request_is_quarantined_after_two_lost_targets_and_released_by_the_note() {
    let mut fixture = fixture(1);
    send_request(&mut fixture, 1, request("parts"));
    assert_eq!(lose_target(&mut fixture), 1);
    assert_eq!(lose_target(&mut fixture), 0);
    send_request(&mut fixture, 2, request("parts"));
    let refused = Outcome::NotRun(NotRunReason::Quarantined);
    assert_eq!(answers(&fixture.out)[0].1.outcome, refused);
    let fingerprint = once::fingerprint("parts", Some("parts-0"), b"{}");
    let released = note(2, 1)
        .replace(
            "\"released_fingerprints\":[]",
            &format!("\"released_fingerprints\":[{fingerprint}]"),
        )
        .replace(
            "\"added\":[]",
            &format!("\"added\":[\"fingerprint/{fingerprint}\"]"),
        );
    let body = released.as_bytes();
    feed(&mut fixture, Event::PlatformNote { version: 2, body });
    send_request(&mut fixture, 3, request("parts"));
    assert_eq!(calls(&fixture.out).len(), 1);
}

#[test]
fn crashes_followed_by_a_success_do_not_quarantine() {
    let mut fixture = fixture(1);
    for number in 0..4 {
        send_request(&mut fixture, number, request("parts"));
        let first = calls(&fixture.out).remove(0).call;
        assert_eq!(
            lose_target(&mut fixture),
            1,
            "the request is retried at the other replica"
        );
        let second = calls(&fixture.out).remove(0).call;
        assert_ne!(first, second);
        feed(&mut fixture, done(second, b"1"));
        assert_eq!(answers(&fixture.out)[0].1.outcome, Outcome::Ran);
        fixture.now += Duration::from_secs(20);
        let targets: Vec<_> = fixture.state.routes.targets.keys().collect();
        for target in targets {
            let report = report(1);
            feed(&mut fixture, Event::Load { target, report });
        }
    }
}

#[test]
fn a_target_lost_after_the_deadline_is_a_strike() {
    let mut fixture = fixture(1);
    for number in 1..3 {
        send_request(&mut fixture, number, request("parts"));
        let call = calls(&fixture.out).remove(0).call;
        let mut keys = fixture.state.queries.queries.keys();
        let query = keys.next().expect("the query runs");
        feed(&mut fixture, Event::Timer(model::Timer::Deadline(query)));
        fixture.now += Duration::from_millis(1);
        let failure = LOST;
        feed(&mut fixture, Event::CallFailed { call, failure });
    }
    send_request(&mut fixture, 3, request("parts"));
    let refused = Outcome::NotRun(NotRunReason::Quarantined);
    assert_eq!(answers(&fixture.out)[0].1.outcome, refused);
}
