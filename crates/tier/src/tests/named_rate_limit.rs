//! Targets that name a rate limit, in front of many instances.

use std::time::{Duration, Instant};

use model::{HttpResponse, NotRunReason, Outcome};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::gateway_fleet::{
    Fleet, Size, cut_instance, fleet, is_disturbed, pause_instance, random_instance,
    restart_instance, run_for, send_request,
};

/// Time after a target first names its limit from which on it is held to.
const CONTACT: Duration = Duration::from_secs(4);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

const ONE_SERVICE: Size = Size {
    instances_count: 9,
    services_count: 1,
    targets_count: 4,
    attempts_max_count: 2,
};
const TWENTY_SERVICES: Size = Size {
    instances_count: 9,
    services_count: 20,
    targets_count: 2,
    attempts_max_count: 2,
};

/// Sends `per_s` requests a second at random instances.
fn send_load(fleet: &mut Fleet, duration: Duration, per_s: f64) {
    let end = fleet.now + duration;
    let mut number = 0_u64;
    while fleet.now < end {
        let index = random_instance(fleet);
        number += 1;
        send_request(fleet, index, &format!("/{number}"));
        let gap = Duration::from_secs_f64(fleet.rng.random_range(0.5..1.5) / per_s);
        run_for(fleet, gap);
    }
}

/// Returns the largest number of requests that reached a target in any window that starts at
/// `since` or later, from instances that had not been disturbed for [`CONTACT`].
fn busiest_window_count(fleet: &Fleet, target: usize, since: Instant) -> usize {
    let arrivals = fleet.arrivals.iter().filter(|arrival| {
        let is_excused = is_disturbed(fleet, arrival.instance, arrival.at, CONTACT);
        arrival.target == target && arrival.at >= since && !is_excused
    });
    let times: Vec<Instant> = arrivals.map(|arrival| arrival.at).collect();
    let counts = times.iter().enumerate().map(|(index, &start)| {
        let window = times[index..].iter();
        window.take_while(|&&at| at < start + WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

fn allowed_count(limit_per_s: f64) -> f64 {
    1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0
}

fn assert_within_limit(fleet: &Fleet, target: usize, limit_per_s: f64, since: Instant) {
    let count = busiest_window_count(fleet, target, since);
    let allowed = allowed_count(limit_per_s);
    assert!(
        count as f64 <= allowed,
        "{count} requests, {allowed} allowed"
    );
}

#[rstest]
fn a_limit_holds_over_all_instances(
    #[values(1, 3, 9, 40)] instances_count: usize,
    #[values(0.0, 0.5, 3.0, 22.0)] limit_per_s: f64,
    #[values(ONE_SERVICE, TWENTY_SERVICES)] size: Size,
) {
    let size = Size {
        instances_count,
        ..size
    };
    let mut fleet = fleet(size, 1);
    send_load(&mut fleet, Duration::from_secs(2), 100.0);
    fleet.targets[0].rate_limit_per_s = Some(limit_per_s);
    let since = fleet.now + CONTACT;
    send_load(&mut fleet, Duration::from_secs(8), 100.0);
    // After a lull, unused shares must not add up.
    run_for(&mut fleet, Duration::from_secs(10));
    send_load(&mut fleet, Duration::from_secs(6), 200.0);
    assert_within_limit(&fleet, 0, limit_per_s, since);
}

#[rstest]
fn a_limit_holds_while_instances_restart_pause_and_are_cut_off(
    #[values(6, 20)] instances_count: usize,
    #[values(0.5, 22.0)] limit_per_s: f64,
    #[values(1, 2)] seed: u64,
) {
    let size = Size {
        instances_count,
        ..ONE_SERVICE
    };
    let mut fleet = fleet(size, seed);
    fleet.targets[0].rate_limit_per_s = Some(limit_per_s);
    send_load(&mut fleet, CONTACT, 100.0);
    let since = fleet.now;
    for round in 0..9_u32 {
        let index = random_instance(&mut fleet);
        match round % 3 {
            0 => restart_instance(&mut fleet, index),
            1 => pause_instance(&mut fleet, index, Duration::from_secs(2)),
            _ => cut_instance(&mut fleet, index, round),
        }
        send_load(&mut fleet, Duration::from_secs(5), 100.0);
        cut_instance(&mut fleet, index, 0);
    }
    assert_within_limit(&fleet, 0, limit_per_s, since);
}

#[rstest]
fn a_changed_or_lifted_limit_is_followed(#[values(3, 9, 40)] instances_count: usize) {
    let size = Size {
        instances_count,
        targets_count: 2,
        ..ONE_SERVICE
    };
    let mut fleet = fleet(size, 1);
    for limit_per_s in [30.0, 2.0] {
        fleet.targets[0].rate_limit_per_s = Some(limit_per_s);
        send_load(&mut fleet, CONTACT, 100.0);
        let since = fleet.now;
        send_load(&mut fleet, Duration::from_secs(6), 100.0);
        assert_within_limit(&fleet, 0, limit_per_s, since);
    }
    fleet.targets[0].rate_limit_per_s = None;
    send_load(&mut fleet, CONTACT, 100.0);
    let since = fleet.now;
    send_load(&mut fleet, WINDOW + WINDOW, 100.0);
    let count = busiest_window_count(&fleet, 0, since);
    assert!(
        count > 140,
        "{count} of about 400 requests after the limit was lifted"
    );
}

#[rstest]
fn a_limited_target_gets_what_it_takes(#[values(1, 9)] instances_count: usize) {
    let size = Size {
        instances_count,
        targets_count: 2,
        ..ONE_SERVICE
    };
    let mut fleet = fleet(size, 1);
    fleet.targets[0].rate_limit_per_s = Some(20.0);
    send_load(&mut fleet, CONTACT, 100.0);
    let since = fleet.now;
    send_load(&mut fleet, Duration::from_secs(10), 100.0);
    let arrivals = fleet.arrivals.iter();
    let count = arrivals
        .filter(|arrival| arrival.target == 0 && arrival.at >= since)
        .count();
    assert!((140..=220).contains(&count), "{count} requests in 10 s");
    let responses = fleet.responses.values();
    let failed = responses.filter(|response| !matches!(response, HttpResponse::Proxied(_)));
    assert_eq!(failed.count(), 0, "the other target takes the rest");
}

#[test]
fn requests_beyond_the_limits_of_all_targets_are_refused_at_once() {
    let mut fleet = fleet(ONE_SERVICE, 1);
    for target in &mut fleet.targets {
        target.rate_limit_per_s = Some(1.0);
    }
    send_load(&mut fleet, CONTACT, 100.0);
    fleet.responses.clear();
    send_load(&mut fleet, CONTACT, 100.0);
    run_for(&mut fleet, Duration::from_millis(20));
    assert!(fleet.responses.len() > 350, "answered without waiting");
    let refusals = fleet
        .responses
        .values()
        .filter_map(|response| match response {
            HttpResponse::Local {
                outcome: Outcome::NotRun(NotRunReason::RateLimited),
                retry_after,
            } => *retry_after,
            _ => None,
        });
    let refusals: Vec<Duration> = refusals.collect();
    assert!(refusals.len() > 300, "{} refusals", refusals.len());
    let range = Duration::from_millis(50)..=Duration::from_secs(10);
    assert!(refusals.iter().all(|after| range.contains(after)));
}

#[test]
fn a_query_that_limits_make_too_partial_is_refused_without_a_call() {
    let mut fleet = fleet(TWENTY_SERVICES, 1);
    // Both targets of 8 of 20 services; 15 are needed.
    for index in (0..40).filter(|index| index % 20 < 8) {
        fleet.targets[index].rate_limit_per_s = Some(1.0);
    }
    send_load(&mut fleet, CONTACT, 100.0);
    fleet.responses.clear();
    fleet.arrivals.clear();
    send_load(&mut fleet, CONTACT, 100.0);
    run_for(&mut fleet, Duration::from_millis(300));
    let responses = fleet.responses.values();
    let served = responses.filter(|response| matches!(response, HttpResponse::Merged { .. }));
    let served_count = served.count();
    let unlimited = fleet
        .arrivals
        .iter()
        .filter(|arrival| arrival.target % 20 >= 8);
    let unlimited_count = unlimited.count();
    assert!(served_count > 4, "{served_count} served");
    // 12 services without a limit, and few retries or hedges.
    assert!(
        unlimited_count <= 16 * served_count,
        "{unlimited_count} calls"
    );
}

/// Plays a random limit under random load and a random series of troubles; returns the fleet, the
/// limit, and the time from which on the limited target is held to it.
fn run_random_troubles(seed: u64) -> (Fleet, f64, Instant) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = Size {
        instances_count: [2, 6, 9, 25][rng.random_range(0..4)],
        ..[ONE_SERVICE, TWENTY_SERVICES][rng.random_range(0..2)]
    };
    let mut fleet = fleet(size, seed);
    let limit_per_s = [0.0, 0.3, 1.0, 4.0, 12.0, 25.0][rng.random_range(0..6)];
    fleet.targets[0].rate_limit_per_s = Some(limit_per_s);
    send_load(&mut fleet, CONTACT, 60.0);
    let since = fleet.now;
    for round in 1..10 {
        let index = random_instance(&mut fleet);
        match rng.random_range(0..5) {
            0 => restart_instance(&mut fleet, index),
            1 => pause_instance(&mut fleet, index, Duration::from_millis(2_500)),
            2 => cut_instance(&mut fleet, index, round),
            3 => (0..size.instances_count).for_each(|index| cut_instance(&mut fleet, index, 0)),
            _ => run_for(&mut fleet, Duration::from_secs(3)),
        }
        let per_s = [20.0, 80.0, 160.0][rng.random_range(0..3)];
        send_load(&mut fleet, Duration::from_millis(3_000), per_s);
    }
    (fleet, limit_per_s, since)
}

#[rstest]
fn any_series_of_troubles_keeps_the_limit(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let (fleet, limit_per_s, since) = run_random_troubles(seed);
    assert_within_limit(&fleet, 0, limit_per_s, since);
}
