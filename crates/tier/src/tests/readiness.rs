//! Readiness of a new instance.

use std::time::Duration;

use model::{Event, InstanceId, MemberRow, MemberState, Timer};

use super::fixture::{Fixture, feed, fixture};

/// Returns an instance that has caught up with the fleet.
fn joined_fixture() -> Fixture {
    let mut fixture = fixture(1);
    fixture.state.fleet.join = fleet::JoinState::CaughtUp;
    fixture
}

/// Advances the clock in steps of one tick.
fn run_ticks(fixture: &mut Fixture, duration: Duration) {
    let end = fixture.now + duration;
    while fixture.now < end {
        fixture.now += fixture.state.settings.fleet.tick;
        feed(fixture, Event::Timer(Timer::Tick));
    }
}

fn add_member(fixture: &mut Fixture) {
    let row = MemberRow {
        understands_permits: true,
        id: InstanceId {
            name: "south-1".to_owned(),
            incarnation: 7,
        },
        address: "127.0.0.1:9".parse().expect("a valid address"),
        zone: "south".to_owned(),
        capacity_millicores: 0,
        counter: 0,
        state: MemberState::Alive,
    };
    fleet::merge_row(&mut fixture.state.fleet, fixture.now, &row);
}

#[test]
fn a_sole_instance_can_call_its_targets_immediately() {
    let mut fixture = joined_fixture();
    feed(&mut fixture, Event::Timer(Timer::Tick));
    assert!(fixture.state.can_call_targets);
}

#[test]
fn an_instance_with_peers_waits_until_its_connection_shares_are_in_force() {
    let mut fixture = joined_fixture();
    add_member(&mut fixture);
    run_ticks(&mut fixture, Duration::from_secs(2));
    assert!(!fixture.state.can_call_targets);
    run_ticks(&mut fixture, route::GROWTH_DELAY);
    assert!(fixture.state.can_call_targets);
    assert!(!fixture.state.routes.division.is_growing);
}

#[test]
fn a_later_membership_change_does_not_revoke_readiness() {
    let mut fixture = joined_fixture();
    feed(&mut fixture, Event::Timer(Timer::Tick));
    add_member(&mut fixture);
    feed(&mut fixture, Event::Timer(Timer::Tick));
    assert!(fixture.state.can_call_targets);
}

#[test]
fn probed_targets_do_not_count_before_the_instance_has_joined() {
    let mut fixture = fixture(1);
    fixture.state.fleet.join = fleet::JoinState::Waiting;
    fixture.state.fleet.platform_reads.has_note_read_ended = false;
    feed(&mut fixture, Event::Timer(Timer::Tick));
    assert!(!fixture.state.can_call_targets);
}
