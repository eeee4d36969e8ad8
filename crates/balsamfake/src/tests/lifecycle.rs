//! Tests of connections, crashes and cold start.

use std::time::Duration;

use model::TargetPhase;

use super::fixture::{
    call, connect, execution_time, fixture, is_dropped, process_event, run_command, send,
    update_target,
};
use crate::{
    effect::{Effect, Timer},
    event::{CallView, ControlCommand, Event},
    ledger::ExecutionState,
};

#[test]
fn connections_above_the_limit_are_closed() {
    let mut fixture = fixture();
    update_target(&mut fixture, "{\"connect_cost_ms\": 6}");
    for _ in 0..2 {
        let out = connect(&mut fixture);
        let Some(Effect::ServeConnection { delay, .. }) = out.first() else {
            panic!("the connection is not served: {out:?}");
        };
        assert_eq!(*delay, Duration::from_millis(6));
    }
    let out = connect(&mut fixture);
    assert!(
        matches!(out.as_slice(), [Effect::CloseConnection { .. }]),
        "{out:?}"
    );
}

#[test]
fn poison_query_crashes_the_target_and_drops_its_calls() {
    let mut fixture = fixture();
    update_target(&mut fixture, "{\"poison\": \"bad\", \"slots_count\": 2}");
    connect(&mut fixture);
    let non_idempotent = CallView {
        is_idempotent: false,
        ..call("north-1:1:1", "{}")
    };
    let (first, _) = send(&mut fixture, non_idempotent);
    let (second, out) = send(&mut fixture, call("north-1:1:2", "{\"bad\":1}"));
    assert!(is_dropped(&out, first) && is_dropped(&out, second));
    let mut effects = out.iter();
    assert!(effects.any(|effect| matches!(effect, Effect::CloseTarget { .. })));
    assert!(fixture.state.connections.is_empty());
    let executions = &fixture.state.ledger.executions;
    assert_eq!(executions[0].state, ExecutionState::Crashed);
}

#[test]
fn crashed_target_restarts_cold_with_a_new_incarnation() {
    let mut fixture = fixture();
    let target = fixture.target;
    run_command(&mut fixture, ControlCommand::Crash { target: "t1" });
    let (request, out) = send(&mut fixture, call("north-1:1:1", "{}"));
    assert!(is_dropped(&out, request), "a crashed target answers a call");
    let out = process_event(&mut fixture, Event::RestartDue { target });
    assert!(matches!(out.as_slice(), [Effect::Listen { .. }]), "{out:?}");
    let restarted = &fixture.state.targets[target];
    assert_eq!(restarted.incarnation, 2);
    assert_eq!(restarted.phase, TargetPhase::Cold);
}

#[test]
fn execution_slows_in_cold_start_above_the_bearable_load() {
    let mut fixture = fixture();
    update_target(
        &mut fixture,
        "{\"phase\": \"cold\", \"slots_count\": 4, \"latency_ms\": 10,
          \"latency_spread_percent\": 0, \"collapse_factor\": 20}",
    );
    let (first, out) = send(&mut fixture, call("north-1:1:1", "{}"));
    assert_eq!(execution_time(&out, first), Some(Duration::from_millis(10)));
    let (second, out) = send(&mut fixture, call("north-1:1:2", "{}"));
    assert_eq!(
        execution_time(&out, second),
        Some(Duration::from_millis(200))
    );
    let counts = &fixture.state.targets[fixture.target].counts;
    assert_eq!(counts.cold_excess_count, 1);
}

#[test]
fn cold_start_ends_after_the_configured_number_of_calls() {
    let mut fixture = fixture();
    update_target(
        &mut fixture,
        "{\"phase\": \"cold\", \"warm_after_count\": 2}",
    );
    for number in ["1", "2"] {
        assert_eq!(
            fixture.state.targets[fixture.target].phase,
            TargetPhase::Cold
        );
        let (request, _) = send(&mut fixture, call(number, "{}"));
        process_event(&mut fixture, Event::ExecutionFinished { request });
    }
    assert_eq!(
        fixture.state.targets[fixture.target].phase,
        TargetPhase::Warm
    );
}

#[test]
fn cold_target_crashes_at_the_configured_load() {
    let mut fixture = fixture();
    update_target(
        &mut fixture,
        "{\"phase\": \"cold\", \"collapse_crash_count\": 2}",
    );
    send(&mut fixture, call("north-1:1:1", "{}"));
    let (request, out) = send(&mut fixture, call("north-1:1:2", "{}"));
    assert!(is_dropped(&out, request));
    let restart = Timer::Restart(fixture.target);
    let mut effects = out.iter();
    assert!(
        effects.any(|one| matches!(one, Effect::StartTimer { timer, .. } if *timer == restart))
    );
}
