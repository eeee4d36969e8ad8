//! When a new instance may serve.

use std::time::Duration;

use model::{Event, InstanceId, MemberRow, MemberState, Timer};

use super::fixture::{Fixture, feed, fixture};

/// Returns an instance that has caught up with the fleet.
fn joined() -> Fixture {
    let mut fixture = fixture(1);
    fixture.state.fleet.join = fleet::Join::CaughtUp;
    fixture
}

/// Lets time pass, tick by tick.
fn pass(fixture: &mut Fixture, duration: Duration) {
    let end = fixture.now + duration;
    while fixture.now < end {
        fixture.now += fixture.state.settings.fleet.tick;
        feed(fixture, Event::Timer(Timer::Tick));
    }
}

fn know_another_instance(fixture: &mut Fixture) {
    let row = MemberRow {
        id: InstanceId {
            name: "south-1".to_owned(),
            incarnation: 7,
        },
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "south".to_owned(),
        capacity_millicores: 0,
        counter: 0,
        state: MemberState::Alive,
    };
    fleet::merge_row(&mut fixture.state.fleet, fixture.now, &row);
}

#[test]
fn a_lone_instance_can_call_its_targets_at_once() {
    let mut fixture = joined();
    feed(&mut fixture, Event::Timer(Timer::Tick));
    assert!(fixture.state.can_call_targets);
}

#[test]
fn an_instance_among_others_waits_until_its_part_of_the_targets_is_in_force() {
    let mut fixture = joined();
    know_another_instance(&mut fixture);
    pass(&mut fixture, Duration::from_secs(2));
    assert!(!fixture.state.can_call_targets);
    pass(&mut fixture, route::GROWTH_DELAY);
    assert!(fixture.state.can_call_targets);
    assert!(!fixture.state.routes.division.is_growing);
}

#[test]
fn a_later_change_of_the_fleet_does_not_take_readiness_back() {
    let mut fixture = joined();
    feed(&mut fixture, Event::Timer(Timer::Tick));
    know_another_instance(&mut fixture);
    feed(&mut fixture, Event::Timer(Timer::Tick));
    assert!(fixture.state.can_call_targets);
}

#[test]
fn what_it_may_call_before_it_has_joined_does_not_count() {
    let mut fixture = fixture(1);
    fixture.state.fleet.join = fleet::Join::Waiting;
    fixture.state.fleet.reading.is_answered = false;
    feed(&mut fixture, Event::Timer(Timer::Tick));
    assert!(!fixture.state.can_call_targets);
}
