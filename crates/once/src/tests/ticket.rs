//! Issuing, redeeming, retention and forgery of tickets.

use std::time::{Duration, Instant};

use model::{Answer, Coverage, NotRunReason, Outcome, ShardResult, UnknownReason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::{OnceState, Owner, TicketDecision, issue, new_state, redeem, store_outcome};

const BAD: TicketDecision<'static> =
    TicketDecision::Refuse(Outcome::NotRun(NotRunReason::BadTicket));
const FORGOTTEN: TicketDecision<'static> =
    TicketDecision::Refuse(Outcome::Unknown(UnknownReason::Forgotten));

fn owner(port: u16, incarnation: u64) -> Owner {
    Owner {
        address: ([127, 0, 0, 1], port).into(),
        incarnation,
    }
}

fn settings() -> settings::Once {
    settings::Once {
        ticket_retention: Duration::from_secs(60),
        tickets_max_count: 3,
        answer_max_bytes: 8,
        ..settings::Once::default()
    }
}

fn answer(body: &'static [u8]) -> Answer {
    let result = ShardResult {
        service: "stock-ledger".into(),
        body: body.into(),
    };
    Answer {
        request_id: "first".to_owned(),
        outcome: Outcome::Ran,
        snapshot: None,
        coverage: Coverage {
            answered_count: 1,
            total_count: 1,
            missing: Vec::new(),
        },
        results: vec![result],
    }
}

fn ticket(once: &mut OnceState, now: Instant) -> String {
    issue(once, now, 1).remove(0)
}

#[test]
fn resend_returns_stored_answer() {
    let (mut once, now) = (new_state(owner(1, 7), 1), Instant::now());
    let ticket = ticket(&mut once, now);
    assert_eq!(
        redeem(&mut once, &settings(), now, &ticket, 5),
        TicketDecision::Run
    );
    assert_eq!(
        redeem(&mut once, &settings(), now, &ticket, 5),
        TicketDecision::Running
    );
    let first = answer(b"{}");
    assert!(store_outcome(&mut once, &settings(), &ticket, &first).is_empty());
    let again = redeem(&mut once, &settings(), now, &ticket, 5);
    assert_eq!(again, TicketDecision::Ended(&first));
}

#[test]
fn refuses_different_request_under_same_ticket() {
    let (mut once, now) = (new_state(owner(1, 7), 1), Instant::now());
    let ticket = ticket(&mut once, now);
    redeem(&mut once, &settings(), now, &ticket, 5);
    assert_eq!(redeem(&mut once, &settings(), now, &ticket, 6), BAD);
}

#[test]
fn stores_outcome_without_oversized_results() {
    let (mut once, now) = (new_state(owner(1, 7), 1), Instant::now());
    let ticket = ticket(&mut once, now);
    redeem(&mut once, &settings(), now, &ticket, 5);
    store_outcome(&mut once, &settings(), &ticket, &answer(b"{\"n\": 12345}"));
    let TicketDecision::Ended(stored) = redeem(&mut once, &settings(), now, &ticket, 5) else {
        panic!("the outcome is not stored");
    };
    assert_eq!(stored.outcome, Outcome::Ran);
    assert_eq!(
        (
            stored.coverage.answered_count,
            stored.coverage.missing.len()
        ),
        (0, 1)
    );
    assert!(stored.results.is_empty());
    assert_eq!(once.held_bytes, 0);
}

#[test]
fn distinguishes_expired_ticket_from_possibly_redeemed_one() {
    let (mut once, now) = (new_state(owner(1, 7), 1), Instant::now());
    let retention = settings().ticket_retention;
    let [used, unused] = [ticket(&mut once, now), ticket(&mut once, now)];
    redeem(&mut once, &settings(), now, &used, 5);
    store_outcome(&mut once, &settings(), &used, &answer(b"{}"));
    let late = now + retention;
    assert!(matches!(
        redeem(&mut once, &settings(), late, &used, 5),
        TicketDecision::Ended(_)
    ));
    let expired = TicketDecision::Refuse(Outcome::NotRun(NotRunReason::TicketExpired));
    assert_eq!(redeem(&mut once, &settings(), late, &unused, 5), expired);
    let later = now + 2 * retention;
    assert_eq!(redeem(&mut once, &settings(), later, &used, 5), FORGOTTEN);
    assert_eq!(redeem(&mut once, &settings(), later, &unused, 5), FORGOTTEN);
    assert!(once.tickets.is_empty());
}

#[test]
fn ticket_with_possibly_evicted_entry_never_runs() {
    let (mut once, now) = (new_state(owner(1, 7), 1), Instant::now());
    let tickets = issue(&mut once, now, 6);
    for ticket in &tickets[1..5] {
        assert_eq!(
            redeem(&mut once, &settings(), now, ticket, 5),
            TicketDecision::Run
        );
        store_outcome(&mut once, &settings(), ticket, &answer(b"{}"));
    }
    assert_eq!(once.tickets.len(), 3);
    assert_eq!(
        redeem(&mut once, &settings(), now, &tickets[1], 5),
        FORGOTTEN
    );
    assert_eq!(
        redeem(&mut once, &settings(), now, &tickets[0], 5),
        FORGOTTEN
    );
    assert_eq!(
        redeem(&mut once, &settings(), now, &tickets[5], 5),
        TicketDecision::Run
    );
}

#[test]
fn ticket_of_other_process_is_never_run() {
    let now = Instant::now();
    let mut earlier_process = new_state(owner(1, 6), 1);
    let mut other_instance = new_state(owner(2, 7), 1);
    let mut once = new_state(owner(1, 7), 2);
    let gone = TicketDecision::Refuse(Outcome::Unknown(UnknownReason::OwnerGone));
    let earlier = ticket(&mut earlier_process, now);
    assert_eq!(redeem(&mut once, &settings(), now, &earlier, 5), gone);
    let elsewhere = ticket(&mut other_instance, now);
    let address = owner(2, 7).address;
    assert_eq!(
        redeem(&mut once, &settings(), now, &elsewhere, 5),
        TicketDecision::ForwardTo(address)
    );
    let mut same_owner = new_state(owner(1, 7), 3);
    let forged = ticket(&mut same_owner, now);
    assert_eq!(redeem(&mut once, &settings(), now, &forged, 5), BAD);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(6), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A ticket with one altered byte never runs. Alterations of letter case are skipped, because
    /// decoding ignores the case of hexadecimal digits.
    #[test]
    fn altered_ticket_never_runs(position in 0usize..200, byte in 0x21u8..0x7f) {
        let (mut once, now) = (new_state(owner(1, 7), 1), Instant::now());
        let ticket = issue(&mut once, now, 3).remove(1);
        let mut altered = ticket.clone().into_bytes();
        let position = position % altered.len();
        altered[position] = byte;
        let altered = String::from_utf8(altered).expect("ASCII");
        prop_assume!(altered.to_lowercase() != ticket);
        let decision = redeem(&mut once, &settings(), now, &altered, 5);
        prop_assert!(!matches!(decision, TicketDecision::Run), "{altered} ran");
    }

    /// No sequence of uses, completions and time steps runs a ticket twice.
    #[test]
    fn no_ticket_runs_twice(steps in prop::collection::vec((0usize..8, 0u64..30, any::<bool>()), 1..120)) {
        let (mut once, mut now) = (new_state(owner(1, 7), 1), Instant::now());
        let tickets = issue(&mut once, now, 8);
        let mut runs = [0; 8];
        for (index, seconds, ends) in steps {
            now += Duration::from_secs(seconds);
            if redeem(&mut once, &settings(), now, &tickets[index], 5) == TicketDecision::Run {
                runs[index] += 1;
            }
            if ends {
                store_outcome(&mut once, &settings(), &tickets[index], &answer(b"{}"));
            }
        }
        prop_assert!(runs.iter().all(|&count| count <= 1), "{runs:?}");
    }
}
