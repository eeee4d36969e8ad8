//! Counting, clearing and merging of strikes.

use std::time::{Duration, Instant};

use model::{QuarantineUpdate, StrikeUpdate};
use proptest::prelude::*;
use rstest::rstest;

use crate::{
    ObservedStrike, OnceState, Owner, add_strike, clear_strikes, confirm_quarantines,
    is_quarantined, mark_quarantine_sent, merge_quarantine, new_state, quarantine_updates,
    record_execution,
};

const FINGERPRINT: u64 = 5;
const SERVICE: &str = "parts";

fn once() -> OnceState {
    once_of(1)
}

/// Returns the state of the instance with a number.
fn once_of(number: u16) -> OnceState {
    let owner = Owner {
        address: ([127, 0, 0, 1], number).into(),
        incarnation: 1,
    };
    new_state(owner, 1)
}

fn strike(sent_at: Instant, lost_at: Instant) -> ObservedStrike<'static> {
    ObservedStrike {
        fingerprint: FINGERPRINT,
        service: SERVICE,
        sent_at,
        lost_at,
    }
}

/// Returns an update with `strikes_count` strikes one after another, the last one at the time at
/// which the entry still has `remaining_s` of its 600 s.
fn update(strikes_count: u32, remaining_s: u64) -> QuarantineUpdate {
    let last_age = Duration::from_secs(601 - remaining_s.min(601));
    let strikes = (0..strikes_count).rev().map(|number| {
        let lost_age = last_age + Duration::from_secs(u64::from(number));
        StrikeUpdate {
            id: remaining_s * 10 + u64::from(number),
            service: 1,
            sent_age: lost_age + Duration::from_millis(5),
            lost_age,
            is_cleared: false,
        }
    });
    QuarantineUpdate {
        fingerprint: FINGERPRINT,
        strikes_count,
        is_quarantined: false,
        remaining: Duration::from_secs(remaining_s),
        strikes: strikes.collect(),
    }
}

/// Returns an update whose strikes are cleared.
fn cleared(update: QuarantineUpdate) -> QuarantineUpdate {
    let strikes = update.strikes.into_iter().map(|strike| StrikeUpdate {
        is_cleared: true,
        ..strike
    });
    QuarantineUpdate {
        strikes_count: 0,
        strikes: strikes.collect(),
        ..update
    }
}

fn all_updates(once: &OnceState, now: Instant) -> Vec<QuarantineUpdate> {
    quarantine_updates(once, now, usize::MAX, usize::MAX)
}

#[test]
fn losses_of_calls_in_flight_during_one_crash_count_once() {
    let (mut once, settings, start) = (once(), settings::Once::default(), Instant::now());
    let crash = start + Duration::from_millis(5);
    for _ in 0..20 {
        add_strike(&mut once, &settings, crash, &strike(start, crash));
    }
    assert!(!is_quarantined(&once, crash, FINGERPRINT));
    let retry = crash + Duration::from_millis(1);
    let second = retry + Duration::from_millis(5);
    add_strike(&mut once, &settings, second, &strike(retry, second));
    assert!(is_quarantined(&once, second, FINGERPRINT));
    let expiry = second + settings.quarantine_duration;
    assert!(!is_quarantined(&once, expiry, FINGERPRINT));
}

#[test]
fn losses_at_several_instances_during_one_crash_count_once() {
    let (settings, start) = (settings::Once::default(), Instant::now());
    let crash = start + Duration::from_millis(20);
    let mut here = once();
    for number in 2..12 {
        let mut there = once_of(number);
        let sent = start + Duration::from_millis(u64::from(number));
        add_strike(&mut there, &settings, crash, &strike(sent, crash));
        merge_quarantine(&mut here, &settings, crash, &all_updates(&there, crash));
    }
    assert!(!is_quarantined(&here, crash, FINGERPRINT));
}

#[test]
fn complete_reply_clears_strikes() {
    let (mut once, settings, start) = (once(), settings::Once::default(), Instant::now());
    for crash in 1..10 {
        let sent = start + Duration::from_secs(crash);
        let lost = sent + Duration::from_millis(5);
        add_strike(&mut once, &settings, lost, &strike(sent, lost));
        clear_strikes(&mut once, &settings, lost, FINGERPRINT, SERVICE);
        assert!(!is_quarantined(&once, lost, FINGERPRINT));
    }
}

#[test]
fn reply_of_another_service_clears_nothing() {
    let (mut once, settings, start) = (once(), settings::Once::default(), Instant::now());
    for crash in 1..=2 {
        let sent = start + Duration::from_secs(crash);
        let lost = sent + Duration::from_millis(5);
        add_strike(&mut once, &settings, lost, &strike(sent, lost));
        assert!(!clear_strikes(
            &mut once,
            &settings,
            lost,
            FINGERPRINT,
            "orders"
        ));
    }
    let now = start + Duration::from_secs(3);
    assert!(is_quarantined(&once, now, FINGERPRINT));
}

#[test]
fn strikes_merge_between_instances_and_clearance_survives_older_entry() {
    let (mut here, mut there) = (once(), once_of(2));
    let (settings, now) = (settings::Once::default(), Instant::now());
    add_strike(&mut here, &settings, now, &strike(now, now));
    let struck = all_updates(&here, now);
    merge_quarantine(&mut there, &settings, now, &struck);
    let later = now + Duration::from_millis(10);
    add_strike(&mut there, &settings, later, &strike(later, later));
    assert!(is_quarantined(&there, later, FINGERPRINT));
    mark_quarantine_sent(&mut here, &struck);
    clear_strikes(&mut here, &settings, later, FINGERPRINT, SERVICE);
    merge_quarantine(&mut here, &settings, later, &struck);
    assert_eq!(
        here.quarantine_entries[&FINGERPRINT].strikes_count, 0,
        "an older entry must not restore strikes"
    );
    confirm_quarantines(&mut there, later + Duration::from_secs(1));
    let updates = all_updates(&there, later);
    merge_quarantine(&mut here, &settings, later, &updates);
    assert!(is_quarantined(&here, later, FINGERPRINT));
}

#[rstest]
#[case::clearance_of_the_same_strike(update(1, 600), cleared(update(1, 600)), 0)]
#[case::old_strike_after_clearance(cleared(update(1, 600)), update(1, 600), 0)]
#[case::later_strike_after_clearance(cleared(update(1, 500)), update(1, 600), 1)]
#[case::strikes_add_up(update(1, 500), update(1, 600), 2)]
#[case::repeated_strike(update(1, 600), update(1, 600), 1)]
fn merging_is_independent_of_the_order(
    #[case] first: QuarantineUpdate,
    #[case] second: QuarantineUpdate,
    #[case] expected_count: u32,
) {
    let (settings, now) = (settings::Once::default(), Instant::now());
    // Ages reach back before the start of the process's clock if the machine has just started.
    let now = now + settings.quarantine_duration;
    for updates in [[&first, &second], [&second, &first]] {
        let mut once = once();
        for update in updates {
            merge_quarantine(&mut once, &settings, now, std::slice::from_ref(update));
        }
        let entry = &once.quarantine_entries[&FINGERPRINT];
        assert_eq!(entry.strikes_count, expected_count);
        let is_refused = is_quarantined(&once, now, FINGERPRINT);
        assert_eq!(is_refused, expected_count >= 2);
    }
}

#[rstest]
#[case::clearance_does_not_lift_a_quarantine(update(2, 600), cleared(update(2, 600)))]
#[case::later_quarantine_extends(update(2, 100), update(2, 600))]
fn a_quarantine_is_kept(#[case] first: QuarantineUpdate, #[case] second: QuarantineUpdate) {
    let settings = settings::Once::default();
    let now = Instant::now() + settings.quarantine_duration;
    let mut once = once();
    for update in [first, second] {
        merge_quarantine(&mut once, &settings, now, &[update]);
        confirm_quarantines(&mut once, now + Duration::from_secs(1));
    }
    let at = now + Duration::from_secs(599);
    assert!(is_quarantined(&once, at, FINGERPRINT));
}

#[test]
fn news_of_a_clearance_lifts_a_quarantine_that_is_not_confirmed() {
    let settings = settings::Once::default();
    let now = Instant::now() + settings.quarantine_duration;
    let mut once = once();
    merge_quarantine(&mut once, &settings, now, &[update(2, 600)]);
    assert!(is_quarantined(&once, now, FINGERPRINT));
    let soon = now + Duration::from_millis(900);
    confirm_quarantines(&mut once, soon);
    merge_quarantine(&mut once, &settings, soon, &[cleared(update(2, 600))]);
    assert!(!is_quarantined(&once, soon, FINGERPRINT));
}

#[test]
fn a_loss_soon_after_an_execution_is_no_strike() {
    let (mut here, mut there) = (once(), once_of(2));
    let (settings, start) = (settings::Once::default(), Instant::now());
    record_execution(&mut here, start, FINGERPRINT, SERVICE);
    for (index, sent_s) in [1, 3, 5, 11, 13].into_iter().enumerate() {
        let sent = start + Duration::from_secs(sent_s);
        let lost = sent + Duration::from_millis(5);
        add_strike(&mut here, &settings, lost, &strike(sent, lost));
        add_strike(&mut there, &settings, lost, &strike(sent, lost));
        merge_quarantine(&mut here, &settings, lost, &all_updates(&there, lost));
        assert_eq!(is_quarantined(&here, lost, FINGERPRINT), index == 4);
    }
}

#[test]
fn a_quarantine_outweighs_a_clearance_that_arrived_before() {
    let settings = settings::Once::default();
    let now = Instant::now() + settings.quarantine_duration;
    let mut once = once();
    let quarantined = QuarantineUpdate {
        is_quarantined: true,
        strikes: Vec::new(),
        ..update(2, 500)
    };
    for update in [cleared(update(1, 600)), quarantined] {
        merge_quarantine(&mut once, &settings, now, &[update]);
    }
    assert!(is_quarantined(&once, now, FINGERPRINT));
}

#[test]
fn a_count_without_strikes_at_the_limit_is_a_quarantine() {
    let (settings, now) = (settings::Once::default(), Instant::now());
    let mut once = once();
    for (strikes_count, is_expected) in [(1, false), (2, true)] {
        let update = QuarantineUpdate {
            strikes: Vec::new(),
            ..update(strikes_count, 600)
        };
        merge_quarantine(&mut once, &settings, now, &[update]);
        assert_eq!(is_quarantined(&once, now, FINGERPRINT), is_expected);
    }
}

#[test]
fn entries_are_bounded_and_eviction_keeps_quarantined_ones() {
    let (mut once, settings, now) = (once(), settings::Once::default(), Instant::now());
    let quarantined = QuarantineUpdate {
        is_quarantined: true,
        ..update(2, 600)
    };
    merge_quarantine(&mut once, &settings, now, &[quarantined]);
    for fingerprint in 10..3000 {
        let observed = ObservedStrike {
            fingerprint,
            ..strike(now, now)
        };
        add_strike(&mut once, &settings, now, &observed);
    }
    assert_eq!(once.quarantine_entries.len(), 1024);
    assert!(is_quarantined(&once, now, FINGERPRINT));
    assert_eq!(quarantine_updates(&once, now, 8, 0).len(), 8);
}

#[test]
fn unchanged_entries_are_repeated_in_turn() {
    let (mut once, settings, now) = (once(), settings::Once::default(), Instant::now());
    for fingerprint in 0..10 {
        let update = QuarantineUpdate {
            fingerprint,
            is_quarantined: true,
            ..update(2, 600)
        };
        merge_quarantine(&mut once, &settings, now, &[update]);
    }
    let changed = quarantine_updates(&once, now, 10, 0);
    assert_eq!(changed.len(), 10);
    mark_quarantine_sent(&mut once, &changed);
    let mut repeated = Vec::new();
    for _ in 0..5 {
        let updates = quarantine_updates(&once, now, 10, 2);
        mark_quarantine_sent(&mut once, &updates);
        repeated.extend(updates.iter().map(|update| update.fingerprint));
    }
    repeated.sort_unstable();
    assert_eq!(repeated, (0..10).collect::<Vec<u64>>());
}

/// An observed strike: instance, time of the call and of the loss in milliseconds.
fn any_strikes() -> impl Strategy<Value = Vec<(u16, u64, u64)>> {
    let strike = (1..5_u16, 0..100_u64, 0..40_u64);
    let strike = strike.prop_map(|(number, sent_ms, took_ms)| (number, sent_ms, sent_ms + took_ms));
    proptest::collection::vec(strike, 1..9)
}

proptest! {
    #[test]
    fn every_order_of_messages_gives_the_same_count(
        strikes in any_strikes(),
        order in proptest::collection::vec(0..5_u16, 0..30),
    ) {
        let settings = settings::Once { strikes_max_count: 20, ..settings::Once::default() };
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let now = at(1_000);
        let mut instances: Vec<OnceState> = (1..5).map(once_of).collect();
        let mut all = once_of(9);
        for &(number, sent_ms, lost_ms) in &strikes {
            let observed = strike(at(sent_ms), at(lost_ms));
            add_strike(&mut instances[usize::from(number) - 1], &settings, now, &observed);
            add_strike(&mut all, &settings, now, &observed);
        }
        let expected = all.quarantine_entries[&FINGERPRINT].strikes_count;
        // Messages in any order, some repeated, and then one from each instance to the first.
        let senders = order.iter().map(|sender| usize::from(*sender) % 4).chain(1..4);
        for (receiver, sender) in senders.enumerate().map(|(index, sender)| {
            (if index < order.len() { index % 4 } else { 0 }, sender)
        }) {
            let updates = all_updates(&instances[sender], now);
            merge_quarantine(&mut instances[receiver], &settings, now, &updates);
        }
        let entry = &instances[0].quarantine_entries[&FINGERPRINT];
        prop_assert_eq!(entry.strikes_count, expected);
    }
}
