//! Tests of calls: admission, queueing, execution, cancellation and the ledger.

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
fn result_echoes_the_query() {
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
fn refused_call_is_not_executed(#[case] change: &str, #[case] expected: ReplyStatus) {
    let mut fixture = fixture();
    update_target(&mut fixture, change);
    let (request, out) = send(&mut fixture, call("north-1:1:1", "{}"));
    assert_eq!(status(&out, request), Some(expected));
    assert_eq!(execution_time(&out, request), None);
}

#[test]
fn call_is_queued_for_a_slot_and_shed_when_the_queue_is_full() {
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
fn queued_call_past_its_deadline_is_not_executed() {
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
fn cancelled_call_is_answered_immediately_and_only_once(
    #[case] call_id: &str,
    #[case] expected: ReplyStatus,
) {
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
        "a cancelled call is answered twice: {out:?}"
    );
}

#[test]
fn cut_origins_matches_whole_instance_names() {
    let mut fixture = fixture();
    update_target(&mut fixture, "{\"cut_origins\": [\"north-1\"]}");
    let (request, out) = send(&mut fixture, call("north-1:1:1", "{}"));
    assert!(is_dropped(&out, request));
    let (request, out) = send(&mut fixture, call("north-10:1:1", "{}"));
    assert!(execution_time(&out, request).is_some());
}

#[test]
fn ledger_records_only_executions_of_non_idempotent_calls() {
    let mut fixture = fixture();
    let non_idempotent = CallView {
        is_idempotent: false,
        ..call("north-1:1:1", "{\"order\":1}")
    };
    send(&mut fixture, call("north-1:1:0", "{}"));
    let (request, _) = send(&mut fixture, non_idempotent);
    assert!(
        fixture.state.ledger.executions.is_empty(),
        "a queued call is recorded before its execution"
    );
    let running = fixture.state.targets[fixture.target].running[0];
    process_event(&mut fixture, Event::ExecutionFinished { request: running });
    process_event(&mut fixture, Event::ExecutionFinished { request });
    let executions = &fixture.state.ledger.executions;
    assert_eq!(executions.len(), 1);
    assert_eq!(executions[0].state, ExecutionState::Done);
    assert_eq!(executions[0].body, "{\"order\":1}");
}
