//! Probe failures after a pause of the process.

use std::time::Duration;

use model::{CallFailure, Event, Timer};

use super::fixture::{caller, calls, feed, fixture, request};

#[test]
fn probes_that_fail_during_a_pause_do_not_make_targets_unreachable() {
    let mut fixture = fixture(1);
    feed(&mut fixture, Event::Timer(Timer::Tick));
    fixture.now += Duration::from_secs(5);
    let targets: Vec<_> = fixture.state.routes.targets.keys().collect();
    for target in targets {
        let failure = CallFailure::ConnectionLost;
        feed(&mut fixture, Event::LoadFailed { target, failure });
    }
    let request = request("parts");
    let caller = caller(1);
    feed(&mut fixture, Event::Request { caller, request });
    assert_eq!(calls(&fixture.out).len(), 1);
}

#[test]
fn probes_that_fail_without_a_pause_make_targets_unreachable() {
    let mut fixture = fixture(1);
    feed(&mut fixture, Event::Timer(Timer::Tick));
    let targets: Vec<_> = fixture.state.routes.targets.keys().collect();
    for target in targets {
        let failure = CallFailure::ConnectionLost;
        feed(&mut fixture, Event::LoadFailed { target, failure });
    }
    let request = request("parts");
    let caller = caller(1);
    feed(&mut fixture, Event::Request { caller, request });
    assert!(calls(&fixture.out).is_empty());
}
