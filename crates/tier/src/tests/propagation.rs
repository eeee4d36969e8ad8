//! Propagation of configurations to all instances, without reverts, under network faults.

use std::time::Duration;

use fleet::JoinState;
use model::MemberState;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rstest::rstest;

use super::{
    fixture::note,
    network::{Faults, Network, network, publish, revisions, run_for, send_request, start},
};
use crate::is_ready;

/// Time after the last fault within which all instances must agree; the longest delay between two
/// reads of the platform is 8 s.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(16);

/// One operation on the network.
#[derive(Clone, Debug)]
enum Op {
    Publish,
    PublishInvalid,
    PublishOlder,
    SetZoneOut(bool),
    SetTargetsLeaving(bool),
    Partition(usize),
    HealPartition,
    SetPlatformReachable(usize, bool),
    Pause(usize, u64),
    Restart(usize),
    SetLossy(bool),
    Request(usize),
    Run(u64),
}

fn op(nodes_count: usize) -> impl Strategy<Value = Op> {
    let node = 0..nodes_count;
    prop_oneof![
        3 => Just(Op::Publish),
        1 => Just(Op::PublishInvalid),
        1 => Just(Op::PublishOlder),
        2 => any::<bool>().prop_map(Op::SetZoneOut),
        1 => any::<bool>().prop_map(Op::SetTargetsLeaving),
        1 => node.clone().prop_map(Op::Partition),
        1 => Just(Op::HealPartition),
        2 => (node.clone(), any::<bool>())
            .prop_map(|(node, is_reachable)| Op::SetPlatformReachable(node, is_reachable)),
        1 => (node.clone(), 100..12_000_u64).prop_map(|(node, ms)| Op::Pause(node, ms)),
        1 => node.clone().prop_map(Op::Restart),
        1 => any::<bool>().prop_map(Op::SetLossy),
        4 => node.prop_map(Op::Request),
        6 => (50..3000_u64).prop_map(Op::Run),
    ]
}

/// Configuration published by the operator, and the number of requests sent.
#[derive(Default)]
struct Published {
    revision: u64,
    is_south_out: bool,
    is_south_leaving: bool,
    requests_count: u64,
}

fn apply(net: &mut Network, published: &mut Published, op: &Op) {
    match *op {
        Op::Publish => publish_next(net, published),
        Op::PublishInvalid => publish(net, "{\"revision\": 99999}"),
        Op::PublishOlder => publish(net, &even_note(1)),
        Op::SetZoneOut(is_out) => {
            published.is_south_out = is_out;
            publish_next(net, published);
        }
        Op::SetTargetsLeaving(is_leaving) => {
            published.is_south_leaving = is_leaving;
            publish_next(net, published);
        }
        Op::Partition(from) => {
            for (index, node) in net.nodes.iter_mut().enumerate() {
                node.partition = u32::from(index >= from);
            }
        }
        Op::HealPartition => net.nodes.iter_mut().for_each(|node| node.partition = 0),
        Op::SetPlatformReachable(index, is_reachable) => {
            net.nodes[index].can_reach_platform = is_reachable
        }
        Op::Pause(index, ms) => {
            net.nodes[index].paused_until = Some(net.now + Duration::from_millis(ms));
        }
        Op::Restart(index) => start(net, index),
        Op::SetLossy(is_lossy) => net.faults = faults(is_lossy),
        Op::Request(index) => {
            published.requests_count += 1;
            send_request(net, index, published.requests_count);
        }
        Op::Run(ms) => run_for(net, Duration::from_millis(ms)),
    }
}

fn publish_next(net: &mut Network, published: &mut Published) {
    published.revision += 1;
    let mut body = even_note(published.revision);
    if published.is_south_out {
        body = with_south_out(&body);
    }
    if published.is_south_leaving {
        let leaving = r#""state":"leaving","zone":"south""#;
        body = body.replace(r#""state":"in","zone":"south""#, leaving);
    }
    publish(net, &body);
}

/// Returns a note with the additional zone `west` and the revision `2 * number`; revisions that are
/// never consecutive may list any difference.
fn even_note(number: u64) -> String {
    let document = note(number, 2).replace(
        &format!("\"revision\":{number}"),
        &format!("\"revision\":{}", number * 2),
    );
    let zones = r#""zones":[{"name":"north""#;
    let with_west = r#""zones":[{"name":"west","state":"in"},{"name":"north""#;
    assert!(document.contains(zones));
    document.replace(zones, with_west)
}

fn with_south_out(document: &str) -> String {
    let south = r#"{"name":"south","state":"in"}"#;
    assert!(document.contains(south));
    document.replace(south, r#"{"name":"south","state":"out"}"#)
}

fn faults(is_lossy: bool) -> Faults {
    let (drop_ratio, duplicate_ratio, delay_ms) = if is_lossy {
        (0.3, 0.2, 400)
    } else {
        (0.0, 0.0, 3)
    };
    Faults {
        drop_ratio,
        duplicate_ratio,
        delay_max: Duration::from_millis(delay_ms),
    }
}

/// Ends all faults and runs until every instance must have converged.
fn heal_network(net: &mut Network) {
    net.faults = faults(false);
    for node in &mut net.nodes {
        node.partition = 0;
        node.can_reach_platform = true;
        node.paused_until = None;
    }
    run_for(net, CONVERGENCE_LIMIT);
}

/// Checks that no instance exceeded the budget of platform reads in any second.
fn check_reads(net: &Network) {
    let budget = fleet::READS_PER_READER_MAX_PER_S as usize;
    for node in &net.nodes {
        for (index, at) in node.reads.iter().enumerate() {
            let later = node.reads[index..].iter();
            let in_second = later.take_while(|read| **read < *at + Duration::from_secs(1));
            let count = in_second.count();
            assert!(count <= budget, "{count} reads in a second");
        }
    }
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        cases: 48,
        ..Config::default()
    })]

    #[test]
    fn all_instances_converge_on_the_highest_revision_after_faults(
        ops in proptest::collection::vec(op(6), 1..40),
        seed in any::<u64>(),
    ) {
        let mut net = network(6, seed);
        let mut published = Published::default();
        publish_next(&mut net, &mut published);
        (0..6).for_each(|index| start(&mut net, index));
        run_for(&mut net, Duration::from_secs(3));
        for op in &ops {
            apply(&mut net, &mut published, op);
        }
        let highest = revisions(&net).into_iter().max();
        heal_network(&mut net);
        let after = revisions(&net);
        prop_assert!(after.iter().all(|revision| *revision == after[0]), "{after:?}");
        prop_assert!(Some(after[0]) >= highest);
        for node in &net.nodes {
            prop_assert!(is_ready(&node.state));
            let mut members = node.state.fleet.members.values();
            prop_assert!(members.all(|member| member.row.state == MemberState::Alive));
        }
        check_reads(&net);
    }
}

#[rstest]
#[case::calm(false)]
#[case::lossy(true)]
fn a_revision_that_one_instance_can_read_reaches_all(#[case] is_lossy: bool) {
    let mut net = network(9, 3);
    net.faults = faults(is_lossy);
    let mut published = Published::default();
    publish_next(&mut net, &mut published);
    (0..9).for_each(|index| start(&mut net, index));
    run_for(&mut net, Duration::from_secs(10));
    for node in &mut net.nodes[1..] {
        node.can_reach_platform = false;
    }
    run_for(&mut net, Duration::from_secs(60));
    publish_next(&mut net, &mut published);
    run_for(&mut net, Duration::from_secs(8));
    assert!(revisions(&net).iter().all(|&revision| revision == 4));
}

#[test]
fn a_zone_set_out_receives_no_new_calls_after_three_seconds() {
    let mut net = network(9, 4);
    let mut published = Published::default();
    publish_next(&mut net, &mut published);
    (0..9).for_each(|index| start(&mut net, index));
    run_for(&mut net, Duration::from_secs(5));
    publish(&mut net, &with_south_out(&even_note(2)));
    let published_at = net.now;
    for number in 0..400 {
        send_request(&mut net, number % 9, number as u64);
        run_for(&mut net, Duration::from_millis(20));
    }
    let calls = net.nodes.iter().flat_map(|node| &node.calls);
    let south = calls.clone().filter(|(_, zone)| zone == "south");
    let latest = south.map(|(at, _)| *at).max();
    let limit = published_at + Duration::from_secs(3);
    assert!(latest.is_none_or(|at| at < limit));
    assert!(calls.filter(|(_, zone)| zone == "north").count() > 400);
}

#[test]
fn a_new_instance_is_not_ready_before_it_has_the_revision_of_its_peers() {
    let mut net = network(6, 6);
    let mut published = Published::default();
    publish_next(&mut net, &mut published);
    (0..5).for_each(|index| start(&mut net, index));
    run_for(&mut net, Duration::from_secs(4));
    publish_next(&mut net, &mut published);
    run_for(&mut net, Duration::from_secs(4));
    // The platform reverts to an older note; the peers hold the newer one.
    publish(&mut net, &even_note(1));
    start(&mut net, 5);
    while !is_ready(&net.nodes[5].state) {
        run_for(&mut net, Duration::from_millis(10));
    }
    assert_eq!(net.nodes[5].state.fleet.revision(), 4);
    assert_eq!(net.nodes[5].state.fleet.join, JoinState::CaughtUp);
}

#[test]
fn a_sole_instance_becomes_ready_as_caught_up() {
    let mut net = network(1, 7);
    let mut published = Published::default();
    publish_next(&mut net, &mut published);
    start(&mut net, 0);
    run_for(&mut net, Duration::from_secs(1));
    assert!(is_ready(&net.nodes[0].state));
    assert_eq!(net.nodes[0].state.fleet.join, JoinState::CaughtUp);
}
