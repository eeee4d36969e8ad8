//! Configurations spread to all instances and never revert, whatever the network does.

use std::time::Duration;

use fleet::Join;
use model::MemberState;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rstest::rstest;

use super::{
    fixture::note,
    net::{Faults, Net, ask, net, publish, revisions, run_for, start},
};
use crate::is_ready;

/// Ticks after the last fault in which all instances must agree: the longest delay between two
/// reads of the platform is 8 s.
const HEAL_TIME: Duration = Duration::from_secs(16);

/// One thing that happens to the fleet.
#[derive(Clone, Debug)]
enum Op {
    Publish,
    PublishFaulty,
    PublishOlder,
    TakeOut(bool),
    Drain(bool),
    Cut(usize),
    Join,
    Platform(usize, bool),
    Pause(usize, u64),
    Restart(usize),
    Lossy(bool),
    Ask(usize),
    Run(u64),
}

fn op(nodes_count: usize) -> impl Strategy<Value = Op> {
    let node = 0..nodes_count;
    prop_oneof![
        3 => Just(Op::Publish),
        1 => Just(Op::PublishFaulty),
        1 => Just(Op::PublishOlder),
        2 => any::<bool>().prop_map(Op::TakeOut),
        1 => any::<bool>().prop_map(Op::Drain),
        1 => node.clone().prop_map(Op::Cut),
        1 => Just(Op::Join),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, sees)| Op::Platform(node, sees)),
        1 => (node.clone(), 100..12_000_u64).prop_map(|(node, ms)| Op::Pause(node, ms)),
        1 => node.clone().prop_map(Op::Restart),
        1 => any::<bool>().prop_map(Op::Lossy),
        4 => node.prop_map(Op::Ask),
        6 => (50..3000_u64).prop_map(Op::Run),
    ]
}

/// What the operator has published.
#[derive(Default)]
struct Published {
    revision: u64,
    is_south_out: bool,
    is_south_leaving: bool,
    asked_count: u64,
}

fn apply(net: &mut Net, published: &mut Published, op: &Op) {
    match *op {
        Op::Publish => publish_next(net, published),
        Op::PublishFaulty => publish(net, "{\"revision\": 99999}"),
        Op::PublishOlder => publish(net, &fleet_note(1)),
        Op::TakeOut(is_out) => {
            published.is_south_out = is_out;
            publish_next(net, published);
        }
        Op::Drain(is_leaving) => {
            published.is_south_leaving = is_leaving;
            publish_next(net, published);
        }
        Op::Cut(from) => {
            for (index, node) in net.nodes.iter_mut().enumerate() {
                node.group = u32::from(index >= from);
            }
        }
        Op::Join => net.nodes.iter_mut().for_each(|node| node.group = 0),
        Op::Platform(index, sees) => net.nodes[index].sees_platform = sees,
        Op::Pause(index, ms) => {
            net.nodes[index].paused_until = Some(net.now + Duration::from_millis(ms));
        }
        Op::Restart(index) => start(net, index),
        Op::Lossy(is_lossy) => net.faults = faults(is_lossy),
        Op::Ask(index) => {
            published.asked_count += 1;
            ask(net, index, published.asked_count);
        }
        Op::Run(ms) => run_for(net, Duration::from_millis(ms)),
    }
}

fn publish_next(net: &mut Net, published: &mut Published) {
    published.revision += 1;
    let mut body = fleet_note(published.revision);
    if published.is_south_out {
        body = take_south_out(&body);
    }
    if published.is_south_leaving {
        let leaving = r#""state":"leaving","zone":"south""#;
        body = body.replace(r#""state":"in","zone":"south""#, leaving);
    }
    publish(net, &body);
}

/// Returns a note with the zone `west` and an even revision, so that no note follows another one
/// directly and any difference may be listed.
fn fleet_note(number: u64) -> String {
    let document = note(number, 2).replace(
        &format!("\"revision\":{number}"),
        &format!("\"revision\":{}", number * 2),
    );
    let zones = r#""zones":[{"name":"north""#;
    let with_west = r#""zones":[{"name":"west","state":"in"},{"name":"north""#;
    assert!(document.contains(zones));
    document.replace(zones, with_west)
}

fn take_south_out(document: &str) -> String {
    let south = r#"{"name":"south","state":"in"}"#;
    assert!(document.contains(south));
    document.replace(south, r#"{"name":"south","state":"out"}"#)
}

fn faults(is_lossy: bool) -> Faults {
    let (drop_ratio, double_ratio, delay_ms) = if is_lossy {
        (0.3, 0.2, 400)
    } else {
        (0.0, 0.0, 3)
    };
    Faults {
        drop_ratio,
        double_ratio,
        delay_max: Duration::from_millis(delay_ms),
    }
}

fn heal(net: &mut Net) {
    net.faults = faults(false);
    for node in &mut net.nodes {
        node.group = 0;
        node.sees_platform = true;
        node.paused_until = None;
    }
    run_for(net, HEAL_TIME);
}

/// Checks that no instance read the platform more often than the budget in any second.
fn check_reads(net: &Net) {
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
    fn all_agree_on_the_highest_accepted_revision_after_faults(
        ops in proptest::collection::vec(op(6), 1..40),
        seed in any::<u64>(),
    ) {
        let mut net = net(6, seed);
        let mut published = Published::default();
        publish_next(&mut net, &mut published);
        (0..6).for_each(|index| start(&mut net, index));
        run_for(&mut net, Duration::from_secs(3));
        for op in &ops {
            apply(&mut net, &mut published, op);
        }
        let highest = revisions(&net).into_iter().max();
        heal(&mut net);
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
    let mut net = net(9, 3);
    net.faults = faults(is_lossy);
    let mut published = Published::default();
    publish_next(&mut net, &mut published);
    (0..9).for_each(|index| start(&mut net, index));
    run_for(&mut net, Duration::from_secs(10));
    for node in &mut net.nodes[1..] {
        node.sees_platform = false;
    }
    run_for(&mut net, Duration::from_secs(60));
    publish_next(&mut net, &mut published);
    run_for(&mut net, Duration::from_secs(8));
    assert!(revisions(&net).iter().all(|&revision| revision == 4));
}

#[test]
fn a_zone_that_is_taken_out_receives_no_new_work_after_three_seconds() {
    let mut net = net(9, 4);
    let mut published = Published::default();
    publish_next(&mut net, &mut published);
    (0..9).for_each(|index| start(&mut net, index));
    run_for(&mut net, Duration::from_secs(5));
    publish(&mut net, &take_south_out(&fleet_note(2)));
    let published_at = net.now;
    for number in 0..400 {
        ask(&mut net, number % 9, number as u64);
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
fn a_new_instance_is_not_ready_before_it_holds_what_its_peers_hold() {
    let mut net = net(6, 6);
    let mut published = Published::default();
    publish_next(&mut net, &mut published);
    (0..5).for_each(|index| start(&mut net, index));
    run_for(&mut net, Duration::from_secs(4));
    publish_next(&mut net, &mut published);
    run_for(&mut net, Duration::from_secs(4));
    // The platform falls back to an old value; the peers hold the newer one.
    publish(&mut net, &fleet_note(1));
    start(&mut net, 5);
    while !is_ready(&net.nodes[5].state) {
        run_for(&mut net, Duration::from_millis(10));
    }
    assert_eq!(net.nodes[5].state.fleet.revision(), 4);
    assert_eq!(net.nodes[5].state.fleet.join, Join::CaughtUp);
}

#[test]
fn a_lone_instance_becomes_ready_and_says_why() {
    let mut net = net(1, 7);
    let mut published = Published::default();
    publish_next(&mut net, &mut published);
    start(&mut net, 0);
    run_for(&mut net, Duration::from_secs(1));
    assert!(is_ready(&net.nodes[0].state));
    assert_eq!(net.nodes[0].state.fleet.join, Join::CaughtUp);
}
