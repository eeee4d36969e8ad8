//! Limits that hold for all instances together.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use catalog::apply;
use model::{CallFailure, Record};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rstest::rstest;

use super::fixture::{Fate, plan, record, registration, settings, single, world};
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

    /// Instances of any size that repeat whenever they may stay within the sum in every window,
    /// whatever the load does.
    #[test]
    fn extra_calls_of_all_instances_stay_within_the_budget(
        sizes in vec(1..8_u32, 1..6),
        gaps_ms in vec(0..120_u64, 200..600),
        wishes_count in 1..6_usize,
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
            for _ in 0..wishes_count {
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
fn a_service_whose_targets_all_fail_causes_no_storm() {
    let lost = Fate::Fails(CallFailure::ConnectionLost);
    let mut world = world(&single(true), |_, _| (2, lost.clone()));
    for _ in 0..1_000 {
        world.ask();
        world.pass(10);
    }
    let extra_count = world.seen.len() - 1_000;
    assert!(
        extra_count <= 260,
        "{extra_count} repeats of 1000 requests in 10 s"
    );
}

#[rstest]
#[case::nine_alike(26, 1.0 / 9.0, 2)]
#[case::one_alone(26, 1.0, 23)]
#[case::more_instances_than_connections(54, 1.0 / 100.0, 1)]
fn connections_are_shared(#[case] limit: u32, #[case] ratio: f64, #[case] expected: usize) {
    assert_eq!(connections_max_count(limit, Some(ratio)), expected);
}

#[test]
fn an_instance_never_has_more_requests_at_a_target_than_connections() {
    let mut world = world(&single(true), |_, _| (100, Fate::Done(record(1))));
    world.gateway.share_ratio = Some(1.0 / 9.0);
    let callers: Vec<_> = (0..12).map(|_| world.ask()).collect();
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for seen in &world.seen {
        *counts.entry(&seen.target).or_default() += 1;
    }
    assert!(counts.values().all(|&count| count <= 2), "{counts:?}");
    world.pass(480);
    let answered = callers
        .iter()
        .filter(|&&caller| world.response(caller).is_some());
    assert_eq!(answered.count(), 12);
}

#[test]
fn a_cold_target_gets_this_instances_part_of_what_it_bears() {
    let mut world = world(&single(true), |_, _| (5, Fate::Done(record(1))));
    for (number, id) in ["shard-0/a", "shard-0/b"].into_iter().enumerate() {
        let mut cold = registration("shard-0", 0, number as u16);
        cold.cold_for = Duration::from_secs(30);
        let record = Record::Target {
            target_id: id.to_owned(),
            registration: Some(cold),
        };
        apply(&mut world.gateway.catalog, world.now, &record);
    }
    for _ in 0..200 {
        world.ask();
        world.pass(50);
    }
    for from_ms in (0..10_000).step_by(50) {
        for id in ["shard-0/a", "shard-0/b"] {
            let in_second = world.seen.iter().filter(|seen| {
                seen.target == id && (from_ms..from_ms + 1_000).contains(&seen.at_ms)
            });
            assert!(in_second.count() <= 3);
        }
    }
    assert!(
        world.seen.len() >= 40,
        "a cold target is used within its limit"
    );
}

#[test]
fn a_leaving_target_is_used_only_if_no_other_can_be() {
    let mut world = world(&single(true), |_, _| (5, Fate::Done(record(1))));
    let mut draining = registration("shard-0", 0, 0);
    draining.is_draining = true;
    let leaving = Record::Target {
        target_id: "shard-0/a".to_owned(),
        registration: Some(draining),
    };
    apply(&mut world.gateway.catalog, world.now, &leaving);
    for _ in 0..50 {
        world.ask();
        world.pass(10);
    }
    assert!(world.seen.iter().all(|seen| seen.target == "shard-0/b"));
}

#[test]
fn a_zone_that_is_taken_out_gets_nothing_even_if_nobody_else_can_serve() {
    let mut world = world(&plan(2), |_, _| (5, Fate::Done(record(1))));
    let out = Record::ZoneOut {
        zone: "kranj".to_owned(),
        is_out: true,
    };
    apply(&mut world.gateway.catalog, world.now, &out);
    let caller = world.ask();
    world.pass(5);
    assert!(world.seen.is_empty());
    assert!(world.response(caller).is_some(), "refused at once");
}
