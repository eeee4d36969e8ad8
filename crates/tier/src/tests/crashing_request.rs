//! A request that crashes its targets and is sent again at any instance.

use std::{collections::HashSet, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::gateway_fleet::{
    Behaviour, CRASHING_PATH, Ending, Fleet, Size, crash_targets, crashing_arrivals, cut_instance,
    fleet, is_disturbed, leave, pause_instance, random_instance, restart_instance, run_for,
    send_request,
};

/// Time after the third crash from which on repetitions are limited, and time without disturbance
/// after which an instance is held to it.
const CONTACT: Duration = Duration::from_secs(4);
/// Repetitions allowed after that.
const REPETITIONS_MAX_COUNT: usize = 3;

const ONE_SERVICE: Size = Size {
    instances_count: 6,
    services_count: 1,
    targets_count: 13,
    attempts_max_count: 2,
};
const TWENTY_SERVICES: Size = Size {
    instances_count: 6,
    services_count: 20,
    targets_count: 2,
    attempts_max_count: 2,
};

/// Sends the crashing request `count` times at random instances, `gap` apart.
fn repeat_crashing_request(fleet: &mut Fleet, count: usize, gap: Duration) {
    for _ in 0..count {
        let index = random_instance(fleet);
        send_request(fleet, index, CRASHING_PATH);
        run_for(fleet, gap);
    }
}

/// Sends harmless requests at random instances, 10 ms apart, and the crashing one every `gap`.
fn mix_requests(fleet: &mut Fleet, duration: Duration, gap: Duration) {
    let end = fleet.now + duration;
    let mut number = 0_u64;
    let mut next = fleet.now;
    while fleet.now < end {
        if fleet.now >= next {
            let index = random_instance(fleet);
            send_request(fleet, index, CRASHING_PATH);
            next += gap;
        }
        number += 1;
        let index = random_instance(fleet);
        send_request(fleet, index, &format!("/harmless/{number}"));
        run_for(fleet, Duration::from_millis(10));
    }
}

/// Returns the number of requests that reached targets later than [`CONTACT`] after the third
/// crash, from instances undisturbed for [`CONTACT`].
fn late_repetitions_count(fleet: &Fleet) -> usize {
    let Some(&(third_at, _)) = fleet.crashes.get(2) else {
        return 0;
    };
    let late = crashing_arrivals(fleet).filter(|arrival| {
        let is_excused = is_disturbed(fleet, arrival.instance, arrival.at, CONTACT);
        arrival.at > third_at + CONTACT && !is_excused
    });
    let requests: HashSet<&str> = late.map(|arrival| &*arrival.request_id).collect();
    requests.len()
}

#[rstest]
fn strikes_of_different_instances_add_up(
    #[values(1, 3, 6, 9, 20)] instances_count: usize,
    #[values(1, 2)] attempts_max_count: u32,
    #[values(100, 400, 2_500)] gap_ms: u64,
) {
    let size = Size {
        instances_count,
        attempts_max_count,
        ..ONE_SERVICE
    };
    let mut fleet = fleet(size, 1);
    repeat_crashing_request(&mut fleet, 40, Duration::from_millis(gap_ms));
    assert_eq!(fleet.crashes.len(), 3);
}

#[rstest]
#[case::one_service_crashes(19)]
#[case::half_of_the_services_crash(10)]
#[case::every_service_crashes(0)]
fn replies_of_other_services_do_not_clear_strikes(#[case] immune_services_count: usize) {
    let mut fleet = fleet(TWENTY_SERVICES, 1);
    fleet.behaviour.immune_services_count = immune_services_count;
    repeat_crashing_request(&mut fleet, 40, Duration::from_millis(700));
    let late_count = late_repetitions_count(&fleet);
    assert!(late_count <= REPETITIONS_MAX_COUNT, "{late_count}");
}

#[rstest]
fn every_way_to_end_is_a_strike(
    #[values(Ending::MidReply, Ending::Silent)] ending: Ending,
    #[values(ONE_SERVICE, TWENTY_SERVICES)] size: Size,
    #[values(10, 300, 1_000)] crash_after_ms: u64,
    #[values(300, 3_000)] gap_ms: u64,
) {
    let mut fleet = fleet(size, 1);
    fleet.behaviour = Behaviour {
        ending,
        crash_after: Duration::from_millis(crash_after_ms),
        ..Behaviour::default()
    };
    repeat_crashing_request(&mut fleet, 40, Duration::from_millis(gap_ms));
    let late_count = late_repetitions_count(&fleet);
    assert!(late_count <= REPETITIONS_MAX_COUNT, "{late_count}");
}

#[rstest]
fn a_target_that_ends_after_its_caller_has_left_is_a_strike(
    #[values(Ending::Reset, Ending::Silent)] ending: Ending,
    #[values(ONE_SERVICE, TWENTY_SERVICES)] size: Size,
) {
    let mut fleet = fleet(size, 1);
    fleet.behaviour.ending = ending;
    fleet.behaviour.crash_after = Duration::from_millis(700);
    for _ in 0..30 {
        let index = random_instance(&mut fleet);
        let caller = send_request(&mut fleet, index, CRASHING_PATH);
        run_for(&mut fleet, Duration::from_millis(60));
        leave(&mut fleet, index, caller);
        run_for(&mut fleet, Duration::from_millis(1_500));
    }
    let late_count = late_repetitions_count(&fleet);
    assert!(late_count <= REPETITIONS_MAX_COUNT, "{late_count}");
}

#[rstest]
fn a_popular_request_is_not_quarantined_when_many_targets_end_at_once(
    #[values(Ending::Reset, Ending::MidReply, Ending::Silent)] ending: Ending,
    #[values(ONE_SERVICE, TWENTY_SERVICES)] size: Size,
) {
    let mut fleet = fleet(size, 1);
    fleet.behaviour.ending = ending;
    for round in 0..900 {
        let index = random_instance(&mut fleet);
        send_request(&mut fleet, index, "/popular");
        run_for(&mut fleet, Duration::from_millis(7));
        if round % 300 == 100 {
            let targets_count = fleet.targets.len();
            let lost = (0..targets_count).filter(|target| target % 3 == round / 300);
            crash_targets(&mut fleet, lost);
        }
    }
    for instance in &fleet.instances {
        let mut entries = instance.state.once.quarantine_entries.values();
        assert!(!entries.any(|entry| entry.is_quarantined));
    }
}

#[rstest]
fn a_popular_request_with_lost_replies_is_not_quarantined(
    #[values(ONE_SERVICE, TWENTY_SERVICES)] size: Size,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = fleet(size, seed);
    fleet.behaviour.lost_ratio = 0.02;
    for _ in 0..1_500 {
        let index = random_instance(&mut fleet);
        send_request(&mut fleet, index, "/popular");
        run_for(&mut fleet, Duration::from_millis(9));
    }
    for instance in &fleet.instances {
        let mut entries = instance.state.once.quarantine_entries.values();
        assert!(!entries.any(|entry| entry.is_quarantined));
    }
}

#[rstest]
fn strikes_spread_while_harmless_requests_lose_their_connections(
    #[values(ONE_SERVICE, TWENTY_SERVICES)] size: Size,
    #[values(0.02, 0.2)] lost_ratio: f64,
    #[values(250, 2_500)] gap_ms: u64,
) {
    let mut fleet = fleet(size, 1);
    fleet.behaviour.lost_ratio = lost_ratio;
    let gap = Duration::from_millis(gap_ms);
    mix_requests(&mut fleet, 8 * gap + Duration::from_secs(6), gap);
    let late_count = late_repetitions_count(&fleet);
    assert!(late_count <= REPETITIONS_MAX_COUNT, "{late_count}");
    assert!(fleet.crashes.len() >= 3);
}

#[rstest]
fn instances_that_restart_learn_the_quarantine(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = fleet(ONE_SERVICE, seed);
    fleet.behaviour.lost_ratio = 0.1;
    mix_requests(
        &mut fleet,
        Duration::from_secs(4),
        Duration::from_millis(400),
    );
    for index in 0..fleet.instances.len() {
        restart_instance(&mut fleet, index);
        mix_requests(&mut fleet, CONTACT, Duration::from_millis(400));
    }
    let late_count = late_repetitions_count(&fleet);
    assert!(late_count <= REPETITIONS_MAX_COUNT, "{late_count}");
}

#[rstest]
fn a_new_instance_learns_every_quarantine_within_the_contact_time(
    #[values(6, 40)] instances_count: usize,
) {
    let size = Size {
        instances_count,
        ..ONE_SERVICE
    };
    let mut fleet = fleet(size, 1);
    for number in 0..12 {
        for _ in 0..4 {
            let index = random_instance(&mut fleet);
            send_request(&mut fleet, index, &format!("{CRASHING_PATH}/{number}"));
            run_for(&mut fleet, Duration::from_millis(400));
        }
    }
    run_for(&mut fleet, CONTACT);
    let quarantined_count = |fleet: &Fleet, index: usize| {
        let entries = fleet.instances[index]
            .state
            .once
            .quarantine_entries
            .values();
        entries.filter(|entry| entry.is_quarantined).count()
    };
    assert_eq!(quarantined_count(&fleet, 1), 12);
    restart_instance(&mut fleet, 0);
    run_for(&mut fleet, CONTACT);
    assert_eq!(quarantined_count(&fleet, 0), 12);
}

#[rstest]
fn instances_without_contact_repeat_little(
    #[values(1, 2, 3)] cut_count: u32,
    #[values(1, 2)] attempts_max_count: u32,
    #[values(400, 1_500)] gap_ms: u64,
) {
    let size = Size {
        attempts_max_count,
        ..ONE_SERVICE
    };
    let mut fleet = fleet(size, 1);
    for partition in 1..=cut_count {
        cut_instance(&mut fleet, partition as usize, partition);
    }
    run_for(&mut fleet, CONTACT);
    repeat_crashing_request(&mut fleet, 60, Duration::from_millis(gap_ms));
    let late_count = late_repetitions_count(&fleet);
    assert!(late_count <= REPETITIONS_MAX_COUNT, "{late_count}");
}

#[rstest]
fn instances_that_pause_and_restart_repeat_little(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = fleet(ONE_SERVICE, seed);
    for round in 0..12 {
        let index = random_instance(&mut fleet);
        match round % 2 {
            0 => pause_instance(&mut fleet, index, Duration::from_secs(2)),
            _ => restart_instance(&mut fleet, index),
        }
        repeat_crashing_request(&mut fleet, 4, Duration::from_millis(600));
    }
    let late_count = late_repetitions_count(&fleet);
    assert!(late_count <= REPETITIONS_MAX_COUNT, "{late_count}");
}

/// Runs a crashing request beside harmless ones through a random series of troubles, and returns
/// the fleet. Once no instance is left that was running at the first crash, the run ends, because
/// nobody remembers it.
fn run_random_troubles(seed: u64) -> Fleet {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let base = [ONE_SERVICE, TWENTY_SERVICES][rng.random_range(0..2)];
    let size = Size {
        instances_count: [3, 6, 9][rng.random_range(0..3)],
        attempts_max_count: rng.random_range(1..=2),
        ..base
    };
    let mut fleet = fleet(size, seed);
    fleet.behaviour = Behaviour {
        ending: [Ending::Reset, Ending::MidReply, Ending::Silent][rng.random_range(0..3)],
        crash_after: Duration::from_millis([5, 80, 400][rng.random_range(0..3)]),
        lost_ratio: [0.0, 0.02][rng.random_range(0..2)],
        immune_services_count: [0, size.services_count / 2][rng.random_range(0..2)],
        ..Behaviour::default()
    };
    let gap = Duration::from_millis([150, 500, 1_500, 4_000][rng.random_range(0..4)]);
    let mut running_since_start: HashSet<usize> = (0..size.instances_count).collect();
    for _ in 0..10 {
        let index = random_instance(&mut fleet);
        match rng.random_range(0..5) {
            0 if running_since_start.len() > 1 => {
                running_since_start.remove(&index);
                restart_instance(&mut fleet, index);
            }
            1 => pause_instance(&mut fleet, index, Duration::from_millis(2_500)),
            2 => cut_instance(&mut fleet, index, 1),
            3 => (0..size.instances_count).for_each(|index| cut_instance(&mut fleet, index, 0)),
            _ => {}
        }
        if rng.random_bool(0.3) {
            let index = random_instance(&mut fleet);
            let caller = send_request(&mut fleet, index, CRASHING_PATH);
            run_for(&mut fleet, Duration::from_millis(40));
            leave(&mut fleet, index, caller);
        }
        mix_requests(&mut fleet, Duration::from_millis(2_500), gap);
    }
    fleet
}

#[rstest]
fn any_series_of_troubles_repeats_little(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let fleet = run_random_troubles(seed);
    let late_count = late_repetitions_count(&fleet);
    assert!(late_count <= REPETITIONS_MAX_COUNT, "{late_count}");
}

#[rstest]
fn targets_that_end_at_once_under_one_query_count_together(#[values(108, 177)] seed: u64) {
    let fleet = run_random_troubles(seed);
    let late_count = late_repetitions_count(&fleet);
    assert!(late_count <= REPETITIONS_MAX_COUNT, "{late_count}");
}

#[rstest]
fn targets_that_fall_silent_count_before_their_end_is_known(#[values(152, 297)] seed: u64) {
    let fleet = run_random_troubles(seed);
    let late_count = late_repetitions_count(&fleet);
    assert!(late_count <= REPETITIONS_MAX_COUNT, "{late_count}");
}
