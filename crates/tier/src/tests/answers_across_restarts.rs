//! Queries that a larger instance runs for a smaller one while either is killed and started again,
//! and while messages between them are late or doubled.

use std::time::Duration;

use model::HttpResponse;
use rand::RngExt;
use rstest::rstest;

use super::gateway_fleet::{
    Behaviour, Fleet, Layout, Link, Size, fleet_with_layout, restart_instance, run_for,
    send_request,
};

const SIZE: Size = Size {
    instances_count: 4,
    services_count: 30,
    targets_count: 2,
    attempts_max_count: 2,
};
/// Queries of one burst at one instance.
const BURST_COUNT: usize = 12;

/// Sends a burst of queries to each small instance.
fn send_bursts(fleet: &mut Fleet) {
    for index in (1..SIZE.instances_count).step_by(2) {
        for number in 0..BURST_COUNT {
            send_request(fleet, index, &format!("/{number}"));
        }
    }
}

/// Returns the merged answers that contain a part of another request, and the number of all merged
/// answers.
fn foreign_answers(fleet: &Fleet) -> (Vec<String>, usize) {
    let mut merged_count = 0;
    let mut foreign = Vec::new();
    for (caller, response) in &fleet.responses {
        let HttpResponse::Merged { proofs, .. } = response else {
            continue;
        };
        merged_count += 1;
        let request_id = &fleet.request_ids[caller];
        let is_own = |proof: &str| {
            proof
                .split_once('/')
                .is_some_and(|(id, _)| id == request_id)
        };
        if let Some(proof) = proofs.iter().find(|proof| !is_own(proof)) {
            foreign.push(format!("{request_id} has {proof}"));
        }
    }
    (foreign, merged_count)
}

fn slow_fleet(link: Link, seed: u64) -> Fleet {
    let mut fleet = fleet_with_layout(SIZE, Layout::Relays, seed);
    fleet.behaviour = Behaviour {
        work: Duration::from_millis(120),
        ..Behaviour::default()
    };
    fleet.link = link;
    fleet
}

const GOOD: Link = Link {
    delay_max: Duration::from_millis(3),
    duplicate_ratio: 0.0,
    states_sender: true,
};
const LATE_AND_DOUBLED: Link = Link {
    delay_max: Duration::from_millis(250),
    duplicate_ratio: 0.2,
    states_sender: true,
};
const EARLIER_VERSION: Link = Link {
    states_sender: false,
    ..LATE_AND_DOUBLED
};

/// Guards against an answer with the parts of a query that an earlier process relayed.
#[test]
fn a_restarted_instance_takes_no_answer_to_an_earlier_run() {
    let mut fleet = slow_fleet(GOOD, 1);
    send_bursts(&mut fleet);
    run_for(&mut fleet, Duration::from_millis(60));
    restart_instance(&mut fleet, 1);
    restart_instance(&mut fleet, 3);
    run_for(&mut fleet, Duration::from_millis(45));
    send_bursts(&mut fleet);
    run_for(&mut fleet, Duration::from_secs(3));
    let (foreign, merged_count) = foreign_answers(&fleet);
    assert!(foreign.is_empty(), "{foreign:?}");
    assert!(merged_count > 0, "no query was answered");
}

/// Guards against answers that cross between runs at any moment, in any order, or twice.
#[rstest]
#[case::good_link(GOOD)]
#[case::late_and_doubled_messages(LATE_AND_DOUBLED)]
#[case::relays_of_an_earlier_version(EARLIER_VERSION)]
fn no_answer_holds_parts_of_another_request(#[case] link: Link) {
    let mut merged_sum = 0;
    for seed in 0..12 {
        let mut fleet = slow_fleet(link, seed);
        for _ in 0..8 {
            send_bursts(&mut fleet);
            let pause_ms = fleet.rng.random_range(10..150);
            run_for(&mut fleet, Duration::from_millis(pause_ms));
            let index = fleet.rng.random_range(0..SIZE.instances_count);
            restart_instance(&mut fleet, index);
            let pause_ms = fleet.rng.random_range(20..120);
            run_for(&mut fleet, Duration::from_millis(pause_ms));
        }
        run_for(&mut fleet, Duration::from_secs(3));
        let (foreign, merged_count) = foreign_answers(&fleet);
        assert!(foreign.is_empty(), "seed {seed}: {foreign:?}");
        merged_sum += merged_count;
    }
    assert!(merged_sum > 0, "no query was answered");
}
