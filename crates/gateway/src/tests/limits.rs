//! Limits that all instances have in common.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use catalog::apply;
use model::{CallFailure, StoreRecord};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rstest::rstest;

use super::fixture::{
    CallResult, gathering_front, record, registration, settings, simulation, single_service_front,
};
use crate::{
    RetryBudget,
    budget::{allows_extra_call, connections_max_count, record_extra_call, record_request},
};

/// Window of the retry budget.
const WINDOW_MS: u64 = 10_000;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Instances of different sizes that use up their budgets stay within the common limit in every
    /// window, for any load.
    #[test]
    fn extra_calls_of_all_instances_stay_within_the_retry_budget(
        sizes in vec(1..8_u32, 1..6),
        gaps_ms in vec(0..120_u64, 200..600),
        extra_wanted_count in 1..6_usize,
    ) {
        let settings = settings();
        let start = Instant::now();
        let total: u32 = sizes.iter().sum();
        let mut instances: Vec<RetryBudget> = sizes.iter().map(|_| RetryBudget::default()).collect();
        let mut requests_ms: Vec<u64> = Vec::new();
        let mut extra_ms: Vec<u64> = Vec::new();
        let mut at_ms = 0;
        for (number, gap_ms) in gaps_ms.iter().enumerate() {
            at_ms += gap_ms;
            let now = start + Duration::from_millis(at_ms);
            let index = number % sizes.len();
            record_request(&mut instances[index], now);
            requests_ms.push(at_ms);
            let share = Some(f64::from(sizes[index]) / f64::from(total));
            for _ in 0..extra_wanted_count {
                if allows_extra_call(&settings, &instances[index], share, now, false) {
                    record_extra_call(&mut instances[index], now);
                    extra_ms.push(at_ms);
                }
            }
        }
        let within = |times: &[u64], from: u64| {
            times.iter().filter(|&&at| at >= from && at < from + WINDOW_MS).count() as f64
        };
        for &from in &extra_ms {
            let earlier = from.saturating_sub(WINDOW_MS);
            let half = from.saturating_sub(WINDOW_MS / 2);
            let requests = [from, half, earlier].map(|from| within(&requests_ms, from));
            let most = requests.into_iter().fold(0.0, f64::max);
            let allowed = settings.retry_ratio * most + f64::from(settings.retry_constant_count);
            prop_assert!(within(&extra_ms, from) <= allowed);
        }
    }
}

#[test]
fn failing_service_causes_no_retry_storm() {
    let lost = CallResult::Failure(CallFailure::ConnectionLost);
    let mut sim = simulation(&single_service_front(true), |_, _| (2, lost.clone()));
    for _ in 0..1_000 {
        sim.send_request();
        sim.advance(10);
    }
    let extra_count = sim.attempts.len() - 1_000;
    assert!(
        extra_count <= 260,
        "{extra_count} retries of 1000 requests in 10 s"
    );
}

#[rstest]
#[case::nine_equal_instances(26, 1.0 / 9.0, 2)]
#[case::single_instance(26, 1.0, 23)]
#[case::more_instances_than_connections(54, 1.0 / 100.0, 1)]
fn connection_limit_is_shared_by_all_instances(
    #[case] limit: u32,
    #[case] ratio: f64,
    #[case] expected: usize,
) {
    assert_eq!(connections_max_count(limit, Some(ratio)), expected);
}

#[test]
fn requests_at_a_target_stay_within_the_connection_limit() {
    let mut sim = simulation(&single_service_front(true), |_, _| {
        (100, CallResult::Done(record(1)))
    });
    sim.gateway.share_ratio = Some(1.0 / 9.0);
    let callers: Vec<_> = (0..12).map(|_| sim.send_request()).collect();
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for attempt in &sim.attempts {
        *counts.entry(&attempt.target).or_default() += 1;
    }
    assert!(counts.values().all(|&count| count <= 2), "{counts:?}");
    sim.advance(480);
    let answered = callers
        .iter()
        .filter(|&&caller| sim.response(caller).is_some());
    assert_eq!(answered.count(), 12);
}

#[test]
fn requests_to_a_cold_target_stay_within_the_share_of_its_rate_limit() {
    let mut sim = simulation(&single_service_front(true), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    for (number, id) in ["shard-0/a", "shard-0/b"].into_iter().enumerate() {
        let mut cold = registration("shard-0", 0, number as u16);
        cold.cold_for = Duration::from_secs(30);
        let record = StoreRecord::Target {
            target_id: id.to_owned(),
            registration: Some(cold),
        };
        apply(&mut sim.gateway.catalog, sim.now, &record);
    }
    for _ in 0..200 {
        sim.send_request();
        sim.advance(50);
    }
    for from_ms in (0..10_000).step_by(50) {
        for id in ["shard-0/a", "shard-0/b"] {
            let in_second = sim.attempts.iter().filter(|attempt| {
                attempt.target == id && (from_ms..from_ms + 1_000).contains(&attempt.at_ms)
            });
            assert!(in_second.count() <= 3);
        }
    }
    assert!(
        sim.attempts.len() >= 40,
        "a cold target gets too few requests"
    );
}

#[test]
fn ready_target_is_preferred_to_a_draining_one() {
    let mut sim = simulation(&single_service_front(true), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    let mut draining = registration("shard-0", 0, 0);
    draining.is_draining = true;
    let leaving = StoreRecord::Target {
        target_id: "shard-0/a".to_owned(),
        registration: Some(draining),
    };
    apply(&mut sim.gateway.catalog, sim.now, &leaving);
    for _ in 0..50 {
        sim.send_request();
        sim.advance(10);
    }
    assert!(
        sim.attempts
            .iter()
            .all(|attempt| attempt.target == "shard-0/b")
    );
}

#[test]
fn evacuated_zone_gets_no_requests_even_without_an_alternative() {
    let mut sim = simulation(&gathering_front(2), |_, _| (5, CallResult::Done(record(1))));
    let out = StoreRecord::ZoneOut {
        zone: "kranj".to_owned(),
        is_out: true,
    };
    apply(&mut sim.gateway.catalog, sim.now, &out);
    let caller = sim.send_request();
    sim.advance(5);
    assert!(sim.attempts.is_empty());
    assert!(sim.response(caller).is_some(), "not refused at once");
}

#[rstest]
#[case::usual(10.0, 60)]
#[case::fraction(10.5, 60)]
#[case::longer_than_the_buckets(40.0, 60)]
#[case::very_long(3_600.0, 60)]
#[case::none_allowed(10.0, 0)]
fn extra_calls_without_requests_stay_within_the_constant(
    #[case] window_s: f64,
    #[case] constant_count: u32,
) {
    let window = Duration::from_secs_f64(window_s);
    let settings = settings::Gateway {
        retry_constant_count: constant_count,
        retry_window: window,
        ..settings()
    };
    let start = Instant::now();
    let mut budget = RetryBudget::default();
    let mut sent = Vec::new();
    for step in 0..2_000 {
        let now = start + Duration::from_millis(100) * step;
        while allows_extra_call(&settings, &budget, Some(1.0), now, false) {
            record_extra_call(&mut budget, now);
            sent.push(now);
        }
    }
    for &from in &sent {
        let within = sent.iter().filter(|&&at| at >= from && at < from + window);
        assert!(within.count() <= constant_count as usize);
    }
}
