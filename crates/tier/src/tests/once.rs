//! At-most-once requests at a single instance.

use std::net::SocketAddr;

use model::{
    CallFailure, CallerKey, Effect, Event, ExecutionKind, InstanceId, MemberRow, MemberState,
    Message, NotRunReason, Outcome, Priority, ReplyStatus, ReplyView, RequestView, Timer,
    UnknownReason,
};
use rstest::rstest;

use super::fixture::{Fixture, answers, caller, calls, done, feed, fixture, request};

fn ticket(fixture: &mut Fixture) -> String {
    let caller = caller(99);
    feed(fixture, Event::TicketsRequested { caller, count: 1 });
    let tickets = fixture.out.iter().find_map(|effect| match effect {
        Effect::Tickets { tickets, .. } => tickets.first().cloned(),
        _ => None,
    });
    tickets.expect("a ticket is issued")
}

fn once_request<'a>(ticket: &'a str) -> RequestView<'a> {
    RequestView {
        service: Some("parts-0"),
        kind: ExecutionKind::Once { ticket },
        ..request("parts")
    }
}

fn send_request(fixture: &mut Fixture, caller: CallerKey, request: RequestView<'_>) {
    feed(fixture, Event::Request { caller, request });
}

#[test]
fn runs_a_request_once_and_repeats_its_answer_to_resends() {
    let mut fixture = fixture(2);
    let ticket = ticket(&mut fixture);
    send_request(&mut fixture, caller(1), once_request(&ticket));
    let call = calls(&fixture.out).remove(0);
    assert!(!call.is_idempotent);
    send_request(&mut fixture, caller(2), once_request(&ticket));
    assert!(calls(&fixture.out).is_empty());
    feed(&mut fixture, done(call.call, b"7"));
    let both = answers(&fixture.out);
    assert_eq!(both.len(), 2);
    send_request(&mut fixture, caller(3), once_request(&ticket));
    assert!(calls(&fixture.out).is_empty());
    let late = answers(&fixture.out).remove(0).1;
    assert!(both.iter().all(|(_, answer)| *answer == late));
    assert_eq!(late.outcome, Outcome::Ran);
}

#[rstest]
#[case(CallFailure::ConnectionLost)]
#[case(CallFailure::Truncated)]
fn does_not_retry_a_call_that_may_have_run(#[case] failure: CallFailure) {
    let mut fixture = fixture(1);
    let ticket = ticket(&mut fixture);
    send_request(&mut fixture, caller(1), once_request(&ticket));
    let call = calls(&fixture.out).remove(0).call;
    feed(&mut fixture, Event::CallFailed { call, failure });
    assert!(calls(&fixture.out).is_empty());
    let unknown = Outcome::Unknown(UnknownReason::ConnectionLost);
    assert_eq!(answers(&fixture.out)[0].1.outcome, unknown);
}

#[rstest]
#[case(ReplyStatus::Shed, true)]
#[case(ReplyStatus::Draining, true)]
#[case(ReplyStatus::CancelledUnrun, true)]
#[case(ReplyStatus::CancelledRunning, false)]
#[case(ReplyStatus::Failed, false)]
fn retries_a_call_only_if_the_target_did_not_run_it(
    #[case] status: ReplyStatus,
    #[case] is_retried: bool,
) {
    let mut fixture = fixture(1);
    let ticket = ticket(&mut fixture);
    send_request(&mut fixture, caller(1), once_request(&ticket));
    let call = calls(&fixture.out).remove(0).call;
    let reply = ReplyView {
        status,
        snapshot: 1,
        body: b"{}",
        load: None,
    };
    feed(&mut fixture, Event::Reply { call, reply });
    assert_eq!(calls(&fixture.out).len(), usize::from(is_retried));
}

#[test]
fn a_refusal_uses_up_the_ticket() {
    let mut fixture = fixture(1);
    let ticket = ticket(&mut fixture);
    let unknown_service = RequestView {
        service: Some("absent"),
        ..once_request(&ticket)
    };
    send_request(&mut fixture, caller(1), unknown_service);
    let first = answers(&fixture.out).remove(0).1;
    assert_eq!(first.outcome, Outcome::NotRun(NotRunReason::UnknownService));
    send_request(&mut fixture, caller(2), unknown_service);
    assert_eq!(answers(&fixture.out)[0].1, first);
    send_request(&mut fixture, caller(3), once_request(&ticket));
    assert!(calls(&fixture.out).is_empty());
}

#[test]
fn requires_exactly_one_service() {
    let mut fixture = fixture(2);
    let ticket = ticket(&mut fixture);
    let without_service = RequestView {
        service: None,
        ..once_request(&ticket)
    };
    send_request(&mut fixture, caller(1), without_service);
    let refused = Outcome::NotRun(NotRunReason::ServiceRequired);
    assert_eq!(answers(&fixture.out)[0].1.outcome, refused);
}

#[test]
fn a_resend_stops_waiting_at_its_own_deadline() {
    let mut fixture = fixture(1);
    let ticket = ticket(&mut fixture);
    send_request(&mut fixture, caller(1), once_request(&ticket));
    send_request(&mut fixture, caller(2), once_request(&ticket));
    let timer = fixture.out.iter().find_map(|effect| match effect {
        Effect::SetTimer { timer, .. } => Some(*timer),
        _ => None,
    });
    let timer = timer.expect("the resend has a deadline");
    assert!(matches!(timer, Timer::Wait(_)));
    feed(&mut fixture, Event::Timer(timer));
    let running = Outcome::Unknown(UnknownReason::InProgress);
    assert_eq!(answers(&fixture.out)[0].1.outcome, running);
}

#[test]
fn issues_no_tickets_during_shutdown() {
    let mut fixture = fixture(1);
    feed(&mut fixture, Event::ShutdownRequested);
    let caller = caller(1);
    feed(&mut fixture, Event::TicketsRequested { caller, count: 3 });
    let refused = Effect::Tickets {
        caller,
        tickets: Vec::new(),
    };
    assert_eq!(fixture.out, [refused]);
}

#[test]
fn forwards_a_foreign_ticket_and_answers_unknown_if_the_owner_is_unreachable() {
    let mut fixture = fixture(1);
    let foreign = "127.0.0.1:9~7~0~0~0";
    let address = "127.0.0.1:9".parse().expect("a valid address");
    add_member(&mut fixture, address);
    send_request(&mut fixture, caller(1), once_request(foreign));
    let is_forwarded = |effect: &Effect| matches!(effect, Effect::Send { address: to, message: Message::Forward(_) } if *to == address);
    assert!(fixture.out.iter().any(is_forwarded));
    feed(&mut fixture, Event::PeerUnreachable { address });
    let gone = Outcome::Unknown(UnknownReason::OwnerGone);
    assert_eq!(answers(&fixture.out)[0].1.outcome, gone);
}

#[test]
fn does_not_forward_to_an_unknown_address_in_a_forged_ticket() {
    let mut fixture = fixture(1);
    send_request(
        &mut fixture,
        caller(1),
        once_request("192.0.2.1:80~7~0~0~0"),
    );
    let is_send = |effect: &Effect| matches!(effect, Effect::Send { .. });
    assert!(!fixture.out.iter().any(is_send));
    let gone = Outcome::Unknown(UnknownReason::OwnerGone);
    assert_eq!(answers(&fixture.out)[0].1.outcome, gone);
}

/// Adds another instance with the given peer address to the members.
fn add_member(fixture: &mut Fixture, address: SocketAddr) {
    let row = MemberRow {
        understands_permits: true,
        id: InstanceId {
            name: "south-1".to_owned(),
            incarnation: 7,
        },
        address,
        zone: "south".to_owned(),
        capacity_millicores: 0,
        counter: 0,
        state: MemberState::Alive,
    };
    fleet::merge_row(&mut fixture.state.fleet, fixture.now, &row);
}

#[test]
fn a_disconnected_caller_cancels_only_idempotent_requests() {
    let mut fixture = fixture(1);
    let caller = caller(1);
    send_request(&mut fixture, caller, request("parts"));
    feed(&mut fixture, Event::CallerGone { caller });
    let is_cancel = |effect: &Effect| matches!(effect, Effect::Cancel { .. });
    assert!(fixture.out.iter().any(is_cancel));
    assert!(fixture.state.queries.queries.is_empty());
    let ticket = ticket(&mut fixture);
    let deferrable = RequestView {
        priority: Priority::Deferrable,
        ..once_request(&ticket)
    };
    send_request(&mut fixture, caller, deferrable);
    feed(&mut fixture, Event::CallerGone { caller });
    assert!(fixture.out.is_empty());
    assert_eq!(fixture.state.queries.queries.len(), 1);
}

#[test]
fn a_deferrable_request_waits_when_every_target_is_draining() {
    let mut fixture = fixture(1);
    let ticket = ticket(&mut fixture);
    let deferrable = RequestView {
        priority: Priority::Deferrable,
        ..once_request(&ticket)
    };
    send_request(&mut fixture, caller(1), deferrable);
    for _ in 0..2 {
        let call = calls(&fixture.out).remove(0).call;
        let reply = ReplyView {
            status: ReplyStatus::Draining,
            snapshot: 1,
            body: b"",
            load: None,
        };
        feed(&mut fixture, Event::Reply { call, reply });
        assert!(answers(&fixture.out).is_empty());
    }
    assert!(calls(&fixture.out).is_empty());
    feed(&mut fixture, Event::Timer(Timer::Tick));
    let call = calls(&fixture.out).remove(0).call;
    feed(&mut fixture, done(call, b"1"));
    assert_eq!(answers(&fixture.out)[0].1.outcome, Outcome::Ran);
}

#[test]
fn a_late_reply_resolves_the_unknown_outcome() {
    let mut fixture = fixture(1);
    let ticket = ticket(&mut fixture);
    send_request(&mut fixture, caller(1), once_request(&ticket));
    let call = calls(&fixture.out).remove(0).call;
    let query = fixture.state.queries.queries.keys().next();
    let query = query.expect("the query runs");
    feed(&mut fixture, Event::Timer(Timer::Deadline(query)));
    let unknown = Outcome::Unknown(UnknownReason::DeadlinePassed);
    assert_eq!(answers(&fixture.out)[0].1.outcome, unknown);
    feed(&mut fixture, done(call, b"7"));
    send_request(&mut fixture, caller(2), once_request(&ticket));
    let answer = answers(&fixture.out).remove(0).1;
    assert_eq!(answer.outcome, Outcome::Ran);
    assert_eq!(&answer.results[0].body[..], b"7");
}

#[test]
fn a_once_only_front_refuses_requests_without_a_ticket() {
    let mut fixture = fixture(1);
    let front = fixture.state.routes.fronts.get_mut("parts");
    front.expect("the note has the front").is_once_only = true;
    send_request(&mut fixture, caller(1), request("parts"));
    assert!(calls(&fixture.out).is_empty());
    let refused = Outcome::NotRun(NotRunReason::TicketRequired);
    assert_eq!(answers(&fixture.out)[0].1.outcome, refused);
    let ticket = ticket(&mut fixture);
    send_request(&mut fixture, caller(2), once_request(&ticket));
    assert_eq!(calls(&fixture.out).len(), 1);
}
