//! Graceful shutdown without a gateway.

use std::time::Duration;

use model::{Effect, Event, Timer};

use super::fixture::{Fixture, answers, caller, calls, done, feed, fixture, request};
use crate::is_ready;

/// Advances the clock and ticks; returns whether the process exits.
fn tick_after(fixture: &mut Fixture, wait: Duration) -> bool {
    fixture.now += wait;
    feed(fixture, Event::Timer(Timer::Tick));
    fixture.out.contains(&Effect::Exit)
}

#[test]
fn serves_requests_and_exits_only_after_the_idle_period() {
    let mut fixture = fixture(1);
    let idle_period = fixture.state.settings.fleet.leave_quiet;
    feed(&mut fixture, Event::ShutdownRequested);
    assert!(!is_ready(&fixture.state));
    assert!(!tick_after(&mut fixture, idle_period / 2));
    let caller = caller(1);
    let request = request("parts");
    feed(&mut fixture, Event::Request { caller, request });
    let call = calls(&fixture.out).remove(0).call;
    assert!(!tick_after(&mut fixture, idle_period * 2), "a query runs");
    feed(&mut fixture, done(call, b"1"));
    assert_eq!(answers(&fixture.out).len(), 1);
    assert!(
        !tick_after(&mut fixture, idle_period / 2),
        "the answer was just sent"
    );
    assert!(tick_after(&mut fixture, idle_period));
}

#[test]
fn a_second_shutdown_request_does_not_restart_the_idle_period() {
    let mut fixture = fixture(1);
    let idle_period = fixture.state.settings.fleet.leave_quiet;
    feed(&mut fixture, Event::ShutdownRequested);
    assert!(!tick_after(&mut fixture, idle_period / 2));
    feed(&mut fixture, Event::ShutdownRequested);
    assert!(fixture.out.is_empty());
    assert!(tick_after(&mut fixture, idle_period / 2));
}
