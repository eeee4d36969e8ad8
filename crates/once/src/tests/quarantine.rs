//! Counting, clearing and merging of strikes.

use std::time::{Duration, Instant};

use model::QuarantineUpdate;
use rstest::rstest;

use crate::{
    OnceState, Owner, add_strike, clear_strikes, is_quarantined, merge_quarantine, new_state,
    quarantine_updates,
};

const FINGERPRINT: u64 = 5;

fn once() -> OnceState {
    let owner = Owner {
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
    };
    new_state(owner, 1)
}

fn update(strikes_count: u32, remaining_s: u64) -> QuarantineUpdate {
    QuarantineUpdate {
        fingerprint: FINGERPRINT,
        strikes_count,
        remaining: Duration::from_secs(remaining_s),
    }
}

#[test]
fn losses_of_calls_in_flight_during_one_crash_count_once() {
    let (mut once, settings, start) = (once(), settings::Once::default(), Instant::now());
    let crash = start + Duration::from_millis(5);
    for _ in 0..20 {
        add_strike(&mut once, &settings, crash, FINGERPRINT, start);
    }
    assert!(!is_quarantined(&once, &settings, crash, FINGERPRINT));
    let retry = crash + Duration::from_millis(1);
    let second = retry + Duration::from_millis(5);
    add_strike(&mut once, &settings, second, FINGERPRINT, retry);
    assert!(is_quarantined(&once, &settings, second, FINGERPRINT));
    let expiry = second + settings.quarantine_duration;
    assert!(!is_quarantined(&once, &settings, expiry, FINGERPRINT));
}

#[test]
fn complete_reply_clears_strikes() {
    let (mut once, settings, start) = (once(), settings::Once::default(), Instant::now());
    for crash in 1..10 {
        let sent = start + Duration::from_secs(crash);
        let lost = sent + Duration::from_millis(5);
        add_strike(&mut once, &settings, lost, FINGERPRINT, sent);
        clear_strikes(&mut once, &settings, FINGERPRINT);
        assert!(!is_quarantined(&once, &settings, lost, FINGERPRINT));
    }
}

#[test]
fn strikes_merge_between_instances_and_clearance_survives_older_entry() {
    let settings = settings::Once::default();
    let (mut here, mut there, now) = (once(), once(), Instant::now());
    add_strike(&mut here, &settings, now, FINGERPRINT, now);
    let struck = quarantine_updates(&here, now, 8);
    merge_quarantine(&mut there, &settings, now, &struck);
    let later = now + Duration::from_millis(3);
    add_strike(&mut there, &settings, later, FINGERPRINT, later);
    assert!(is_quarantined(&there, &settings, later, FINGERPRINT));
    clear_strikes(&mut here, &settings, FINGERPRINT);
    merge_quarantine(&mut here, &settings, later, &struck);
    assert_eq!(
        here.quarantine_entries[&FINGERPRINT].strikes_count, 0,
        "an older entry must not restore strikes"
    );
    merge_quarantine(
        &mut here,
        &settings,
        later,
        &quarantine_updates(&there, later, 8),
    );
    assert!(is_quarantined(&here, &settings, later, FINGERPRINT));
}

#[rstest]
#[case::clearance_of_the_same_strike(update(1, 600), update(0, 599), 0)]
#[case::old_strike_after_clearance(update(0, 600), update(1, 601), 0)]
#[case::later_strike_after_clearance(update(0, 500), update(1, 600), 1)]
#[case::clearance_does_not_lift_a_quarantine(update(2, 600), update(0, 600), 2)]
#[case::quarantine_outweighs_clearance(update(0, 600), update(2, 500), 2)]
#[case::later_quarantine_extends(update(2, 100), update(2, 600), 2)]
fn merge_does_not_depend_on_arrival_order(
    #[case] first: QuarantineUpdate,
    #[case] second: QuarantineUpdate,
    #[case] strikes_count: u32,
) {
    let (settings, now) = (settings::Once::default(), Instant::now());
    for updates in [[first, second], [second, first]] {
        let mut once = once();
        for update in updates {
            merge_quarantine(&mut once, &settings, now, &[update]);
        }
        assert_eq!(
            once.quarantine_entries[&FINGERPRINT].strikes_count,
            strikes_count
        );
    }
}

#[test]
fn entries_are_bounded_and_eviction_keeps_quarantined_ones() {
    let (mut once, settings, now) = (once(), settings::Once::default(), Instant::now());
    merge_quarantine(&mut once, &settings, now, &[update(2, 600)]);
    for fingerprint in 100..5_000 {
        add_strike(&mut once, &settings, now, fingerprint, now);
    }
    assert_eq!(once.quarantine_entries.len(), 1024);
    assert!(is_quarantined(&once, &settings, now, FINGERPRINT));
    assert_eq!(quarantine_updates(&once, now, 8).len(), 8);
}
