//! Graceful shutdown.

use std::time::Duration;

use model::{Effect, Event, Timer};

use super::fixture::{Fixture, answers, caller, calls, done, feed, fixture, request};
use crate::is_ready;

fn tick_after(fixture: &mut Fixture, wait: Duration) -> bool {
    fixture.now += wait;
    feed(fixture, Event::Timer(Timer::Tick));
    fixture.out.contains(&Effect::Exit)
}

#[test]
fn answers_new_arrivals_and_exits_only_after_the_quiet_time() {
    let mut fixture = fixture(1);
    let quiet = fixture.state.settings.fleet.leave_quiet;
    feed(&mut fixture, Event::Leave);
    assert!(!is_ready(&fixture.state));
    assert!(!tick_after(&mut fixture, quiet / 2));
    let caller = caller(1);
    let request = request("parts");
    feed(&mut fixture, Event::Request { caller, request });
    let call = calls(&fixture.out).remove(0).call;
    assert!(!tick_after(&mut fixture, quiet * 2), "a query runs");
    feed(&mut fixture, done(call, b"1"));
    assert_eq!(answers(&fixture.out).len(), 1);
    assert!(
        !tick_after(&mut fixture, quiet / 2),
        "the answer has just left"
    );
    assert!(tick_after(&mut fixture, quiet));
}

#[test]
fn a_second_signal_does_not_shorten_the_quiet_time() {
    let mut fixture = fixture(1);
    let quiet = fixture.state.settings.fleet.leave_quiet;
    feed(&mut fixture, Event::Leave);
    assert!(!tick_after(&mut fixture, quiet / 2));
    feed(&mut fixture, Event::Leave);
    assert!(fixture.out.is_empty());
    assert!(tick_after(&mut fixture, quiet / 2));
}
