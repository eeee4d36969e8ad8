//! Requests that run at most once, at one instance.

use std::net::SocketAddr;

use model::{
    CallFailure, CallerKey, Effect, Event, InstanceId, Kind, MemberRow, MemberState, Message,
    NotRunReason, Outcome, Priority, ReplyStatus, ReplyView, RequestView, Timer, UnknownReason,
};
use rstest::rstest;

use super::fixture::{Fixture, answers, caller, calls, done, feed, fixture, request};

fn ticket(fixture: &mut Fixture) -> String {
    let caller = caller(99);
    feed(fixture, Event::TicketsWanted { caller, count: 1 });
    let tickets = fixture.out.iter().find_map(|effect| match effect {
        Effect::Tickets { tickets, .. } => tickets.first().cloned(),
        _ => None,
    });
    tickets.expect("a ticket is issued")
}

fn order<'a>(ticket: &'a str) -> RequestView<'a> {
    RequestView {
        service: Some("parts-0"),
        kind: Kind::Once { ticket },
        ..request("parts")
    }
}

fn send(fixture: &mut Fixture, caller: CallerKey, request: RequestView<'_>) {
    feed(fixture, Event::Request { caller, request });
}

#[test]
fn runs_an_order_once_and_repeats_its_answer() {
    let mut fixture = fixture(2);
    let ticket = ticket(&mut fixture);
    send(&mut fixture, caller(1), order(&ticket));
    let call = calls(&fixture.out).remove(0);
    assert!(!call.is_idempotent);
    send(&mut fixture, caller(2), order(&ticket));
    assert!(calls(&fixture.out).is_empty());
    feed(&mut fixture, done(call.call, b"7"));
    let both = answers(&fixture.out);
    assert_eq!(both.len(), 2);
    send(&mut fixture, caller(3), order(&ticket));
    assert!(calls(&fixture.out).is_empty());
    let late = answers(&fixture.out).remove(0).1;
    assert!(both.iter().all(|(_, answer)| *answer == late));
    assert_eq!(late.outcome, Outcome::Ran);
}

#[rstest]
#[case(CallFailure::ConnectionLost)]
#[case(CallFailure::Truncated)]
fn does_not_repeat_a_call_in_doubt(#[case] failure: CallFailure) {
    let mut fixture = fixture(1);
    let ticket = ticket(&mut fixture);
    send(&mut fixture, caller(1), order(&ticket));
    let call = calls(&fixture.out).remove(0).call;
    feed(&mut fixture, Event::CallFailed { call, failure });
    assert!(calls(&fixture.out).is_empty());
    let doubt = Outcome::Unknown(UnknownReason::ConnectionLost);
    assert_eq!(answers(&fixture.out)[0].1.outcome, doubt);
}

#[rstest]
#[case(ReplyStatus::Shed, true)]
#[case(ReplyStatus::Draining, true)]
#[case(ReplyStatus::CancelledUnrun, true)]
#[case(ReplyStatus::CancelledRunning, false)]
#[case(ReplyStatus::Failed, false)]
fn repeats_a_call_only_if_the_target_did_not_run_it(
    #[case] status: ReplyStatus,
    #[case] is_repeated: bool,
) {
    let mut fixture = fixture(1);
    let ticket = ticket(&mut fixture);
    send(&mut fixture, caller(1), order(&ticket));
    let call = calls(&fixture.out).remove(0).call;
    let reply = ReplyView {
        status,
        snapshot: 1,
        body: b"{}",
        load: None,
    };
    feed(&mut fixture, Event::Reply { call, reply });
    assert_eq!(calls(&fixture.out).len(), usize::from(is_repeated));
}

#[test]
fn a_refusal_spends_the_ticket() {
    let mut fixture = fixture(1);
    let ticket = ticket(&mut fixture);
    let unknown = RequestView {
        service: Some("absent"),
        ..order(&ticket)
    };
    send(&mut fixture, caller(1), unknown);
    let first = answers(&fixture.out).remove(0).1;
    assert_eq!(first.outcome, Outcome::NotRun(NotRunReason::UnknownService));
    send(&mut fixture, caller(2), unknown);
    assert_eq!(answers(&fixture.out)[0].1, first);
    send(&mut fixture, caller(3), order(&ticket));
    assert!(calls(&fixture.out).is_empty());
}

#[test]
fn wants_exactly_one_service() {
    let mut fixture = fixture(2);
    let ticket = ticket(&mut fixture);
    let everywhere = RequestView {
        service: None,
        ..order(&ticket)
    };
    send(&mut fixture, caller(1), everywhere);
    let refused = Outcome::NotRun(NotRunReason::ServiceRequired);
    assert_eq!(answers(&fixture.out)[0].1.outcome, refused);
}

#[test]
fn a_resend_stops_waiting_at_its_own_deadline() {
    let mut fixture = fixture(1);
    let ticket = ticket(&mut fixture);
    send(&mut fixture, caller(1), order(&ticket));
    send(&mut fixture, caller(2), order(&ticket));
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
fn issues_no_ticket_while_leaving() {
    let mut fixture = fixture(1);
    feed(&mut fixture, Event::Leave);
    let caller = caller(1);
    feed(&mut fixture, Event::TicketsWanted { caller, count: 3 });
    let refused = Effect::Tickets {
        caller,
        tickets: Vec::new(),
    };
    assert_eq!(fixture.out, [refused]);
}

#[test]
fn passes_a_foreign_ticket_on_and_says_unknown_if_the_owner_is_gone() {
    let mut fixture = fixture(1);
    let foreign = "127.0.0.1:9~7~0~0~0";
    let address = "127.0.0.1:9".parse().expect("an address");
    know(&mut fixture, address);
    send(&mut fixture, caller(1), order(foreign));
    let is_forwarded = |effect: &Effect| matches!(effect, Effect::Send { address: to, message: Message::Forward(_) } if *to == address);
    assert!(fixture.out.iter().any(is_forwarded));
    feed(&mut fixture, Event::PeerUnreachable { address });
    let gone = Outcome::Unknown(UnknownReason::OwnerGone);
    assert_eq!(answers(&fixture.out)[0].1.outcome, gone);
}

#[test]
fn sends_nothing_to_the_address_of_a_made_up_ticket() {
    let mut fixture = fixture(1);
    send(&mut fixture, caller(1), order("192.0.2.1:80~7~0~0~0"));
    let is_send = |effect: &Effect| matches!(effect, Effect::Send { .. });
    assert!(!fixture.out.iter().any(is_send));
    let gone = Outcome::Unknown(UnknownReason::OwnerGone);
    assert_eq!(answers(&fixture.out)[0].1.outcome, gone);
}

/// Lets the instance know another one with this peers' port.
fn know(fixture: &mut Fixture, address: SocketAddr) {
    let row = MemberRow {
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
fn cancels_a_read_whose_caller_is_gone_but_not_an_order() {
    let mut fixture = fixture(1);
    let caller = caller(1);
    send(&mut fixture, caller, request("parts"));
    feed(&mut fixture, Event::CallerGone { caller });
    let is_cancel = |effect: &Effect| matches!(effect, Effect::Cancel { .. });
    assert!(fixture.out.iter().any(is_cancel));
    assert!(fixture.state.queries.queries.is_empty());
    let ticket = ticket(&mut fixture);
    let deferrable = RequestView {
        priority: Priority::Deferrable,
        ..order(&ticket)
    };
    send(&mut fixture, caller, deferrable);
    feed(&mut fixture, Event::CallerGone { caller });
    assert!(fixture.out.is_empty());
    assert_eq!(fixture.state.queries.queries.len(), 1);
}

#[test]
fn a_deferrable_order_waits_when_every_target_declines() {
    let mut fixture = fixture(1);
    let ticket = ticket(&mut fixture);
    let deferrable = RequestView {
        priority: Priority::Deferrable,
        ..order(&ticket)
    };
    send(&mut fixture, caller(1), deferrable);
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
fn a_late_reply_settles_the_doubt_of_a_deadline() {
    let mut fixture = fixture(1);
    let ticket = ticket(&mut fixture);
    send(&mut fixture, caller(1), order(&ticket));
    let call = calls(&fixture.out).remove(0).call;
    let query = fixture.state.queries.queries.keys().next();
    let query = query.expect("the order runs");
    feed(&mut fixture, Event::Timer(Timer::Deadline(query)));
    let doubt = Outcome::Unknown(UnknownReason::DeadlinePassed);
    assert_eq!(answers(&fixture.out)[0].1.outcome, doubt);
    feed(&mut fixture, done(call, b"7"));
    send(&mut fixture, caller(2), order(&ticket));
    let answer = answers(&fixture.out).remove(0).1;
    assert_eq!(answer.outcome, Outcome::Ran);
    assert_eq!(&answer.results[0].body[..], b"7");
}

#[test]
fn a_front_for_orders_refuses_a_request_without_a_ticket() {
    let mut fixture = fixture(1);
    let front = fixture.state.routes.fronts.get_mut("parts");
    front.expect("the note has the front").is_once_only = true;
    send(&mut fixture, caller(1), request("parts"));
    assert!(calls(&fixture.out).is_empty());
    let refused = Outcome::NotRun(NotRunReason::TicketRequired);
    assert_eq!(answers(&fixture.out)[0].1.outcome, refused);
    let ticket = ticket(&mut fixture);
    send(&mut fixture, caller(2), order(&ticket));
    assert_eq!(calls(&fixture.out).len(), 1);
}
