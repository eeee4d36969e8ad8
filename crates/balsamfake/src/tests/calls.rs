//! Tests of calls: acceptance, queue, execution, cancellation and the ledger.

use std::time::Duration;

use model::ReplyStatus;
use rstest::rstest;

use super::fixture::{
    call, execution_time, fixture, is_dropped, process_event, send, status, update_target,
};
use crate::{
    effect::{Effect, Reply},
    event::{CallView, Event},
    ledger::ExecutionState,
};

#[test]
fn a_call_is_executed_and_its_query_repeated() {
    let mut fixture = fixture();
    let (request, out) = send(&mut fixture, call("north-1:1:1", "{\"lot\":7}"));
    assert!(execution_time(&out, request).is_some());
    let out = process_event(&mut fixture, Event::ExecutionFinished { request });
    let Some(Effect::Reply {
        reply: Reply::Call(reply),
        ..
    }) = out.first()
    else {
        panic!("no reply: {out:?}");
    };
    assert_eq!(
        reply.body,
        "{\"service\":\"parts-1\",\"target\":\"t1\",\"snapshot\":1,\"query\":{\"lot\":7}}"
    );
}

#[rstest]
#[case::draining("{\"is_draining\": true}", ReplyStatus::Draining)]
#[case::shedding("{\"is_shedding\": true}", ReplyStatus::Shed)]
#[case::old_snapshot(
    "{\"oldest_snapshot\": 2, \"newest_snapshot\": 3}",
    ReplyStatus::WrongSnapshot
)]
fn a_refused_call_is_not_executed(#[case] change: &str, #[case] expected: ReplyStatus) {
    let mut fixture = fixture();
    update_target(&mut fixture, change);
    let (request, out) = send(&mut fixture, call("north-1:1:1", "{}"));
    assert_eq!(status(&out, request), Some(expected));
    assert_eq!(execution_time(&out, request), None);
}

#[test]
fn a_call_waits_for_a_slot_and_is_shed_when_the_queue_is_full() {
    let mut fixture = fixture();
    update_target(&mut fixture, "{\"queue_max_count\": 1}");
    let (first, _) = send(&mut fixture, call("north-1:1:1", "{}"));
    let (second, out) = send(&mut fixture, call("north-1:1:2", "{}"));
    assert_eq!(execution_time(&out, second), None);
    let (third, out) = send(&mut fixture, call("north-1:1:3", "{}"));
    assert_eq!(status(&out, third), Some(ReplyStatus::Shed));
    let out = process_event(&mut fixture, Event::ExecutionFinished { request: first });
    assert!(execution_time(&out, second).is_some());
}

#[test]
fn a_call_whose_deadline_passes_in_the_queue_is_not_executed() {
    let mut fixture = fixture();
    let (first, _) = send(&mut fixture, call("north-1:1:1", "{}"));
    let (second, _) = send(&mut fixture, call("north-1:1:2", "{}"));
    fixture.now += Duration::from_secs(2);
    let out = process_event(&mut fixture, Event::ExecutionFinished { request: first });
    assert_eq!(status(&out, second), Some(ReplyStatus::DeadlinePassed));
}

#[rstest]
#[case::running("north-1:1:1", ReplyStatus::CancelledRunning)]
#[case::waiting("north-1:1:2", ReplyStatus::CancelledUnrun)]
fn a_cancelled_call_is_answered_at_once(#[case] call_id: &str, #[case] expected: ReplyStatus) {
    let mut fixture = fixture();
    let (first, _) = send(&mut fixture, call("north-1:1:1", "{}"));
    let (second, _) = send(&mut fixture, call("north-1:1:2", "{}"));
    let event = Event::CancelRequested {
        request: super::fixture::no_request(),
        target: fixture.target,
        call_id,
    };
    let out = process_event(&mut fixture, event);
    let cancelled = if call_id.ends_with('1') {
        first
    } else {
        second
    };
    assert_eq!(status(&out, cancelled), Some(expected));
    let out = process_event(
        &mut fixture,
        Event::ExecutionFinished { request: cancelled },
    );
    assert!(
        out.is_empty(),
        "a cancelled call is answered again: {out:?}"
    );
}

#[test]
fn a_target_cut_off_from_an_instance_still_serves_the_others() {
    let mut fixture = fixture();
    update_target(&mut fixture, "{\"cut_origins\": [\"north-1\"]}");
    let (request, out) = send(&mut fixture, call("north-1:1:1", "{}"));
    assert!(is_dropped(&out, request));
    let (request, out) = send(&mut fixture, call("north-10:1:1", "{}"));
    assert!(execution_time(&out, request).is_some());
}

#[test]
fn the_ledger_counts_each_execution_of_a_call_that_must_run_once() {
    let mut fixture = fixture();
    let order = CallView {
        is_idempotent: false,
        ..call("north-1:1:1", "{\"order\":1}")
    };
    send(&mut fixture, call("north-1:1:0", "{}"));
    let (request, _) = send(&mut fixture, order);
    assert!(fixture.state.ledger.executions.is_empty(), "it only waits");
    let running = fixture.state.targets[fixture.target].running[0];
    process_event(&mut fixture, Event::ExecutionFinished { request: running });
    process_event(&mut fixture, Event::ExecutionFinished { request });
    let executions = &fixture.state.ledger.executions;
    assert_eq!(executions.len(), 1);
    assert_eq!(executions[0].state, ExecutionState::Done);
    assert_eq!(executions[0].body, "{\"order\":1}");
}
