//! What may still be sent, and where, once the configuration may be out of date.

use std::time::Duration;

use super::{
    membership::settled,
    net::{Net, ask, run_for},
};

/// Index of an instance in the zone `west`, which has no target of its own.
const WEST: usize = 2;
/// Index of an instance in the zone `north`, which has a target of every service.
const NORTH: usize = 0;

fn zones_asked(net: &mut Net, index: usize) -> Vec<String> {
    net.nodes[index].calls.clear();
    for number in 0..20 {
        ask(net, index, 1000 + number);
        run_for(net, Duration::from_millis(5));
    }
    let calls = net.nodes[index].calls.iter();
    let mut zones: Vec<String> = calls.map(|(_, zone)| zone.clone()).collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}

#[test]
fn all_zones_are_used_while_only_the_platform_is_down() {
    let mut net = settled(6, 1);
    for node in &mut net.nodes {
        node.sees_platform = false;
    }
    run_for(&mut net, Duration::from_secs(120));
    assert!(net.nodes[WEST].state.fleet.is_lapsed);
    assert!(!zones_asked(&mut net, WEST).is_empty());
}

#[test]
fn an_instance_that_hears_nobody_sends_only_to_its_own_zone() {
    let mut net = settled(6, 2);
    for index in [WEST, NORTH] {
        net.nodes[index].sees_platform = false;
        net.nodes[index].group = 1 + u32::try_from(index).expect("small");
    }
    run_for(&mut net, Duration::from_secs(12));
    assert_eq!(zones_asked(&mut net, NORTH), ["north"]);
    assert!(zones_asked(&mut net, WEST).is_empty());
    assert!(net.nodes[WEST].state.routes.confined_to.is_some());
    for node in &mut net.nodes {
        node.group = 0;
    }
    run_for(&mut net, Duration::from_secs(5));
    assert!(!zones_asked(&mut net, WEST).is_empty());
}

#[test]
fn a_zone_cut_from_the_platform_hears_revisions_from_the_others() {
    let mut net = settled(6, 3);
    for index in [WEST, WEST + 3] {
        net.nodes[index].sees_platform = false;
    }
    run_for(&mut net, Duration::from_secs(60));
    assert!(!net.nodes[WEST].state.fleet.is_lapsed);
}

#[test]
fn an_instance_that_slept_sends_nothing_to_other_zones_before_it_has_heard_anew() {
    let mut net = settled(6, 4);
    run_for(&mut net, Duration::from_secs(5));
    let wakes_at = net.now + Duration::from_secs(4);
    net.nodes[WEST].paused_until = Some(wakes_at);
    ask(&mut net, WEST, 1);
    net.nodes[WEST].calls.clear();
    run_for(&mut net, Duration::from_secs(4) + Duration::from_micros(1));
    assert!(net.nodes[WEST].state.routes.confined_to.is_some());
    assert!(net.nodes[WEST].calls.is_empty());
    run_for(&mut net, Duration::from_secs(1));
    assert!(!zones_asked(&mut net, WEST).is_empty());
}

#[test]
fn a_delayed_reply_does_not_look_fresh() {
    let mut net = settled(3, 5);
    for node in &mut net.nodes {
        node.sees_platform = false;
    }
    net.faults.delay_max = Duration::from_secs(1);
    run_for(&mut net, Duration::from_secs(30));
    for node in &net.nodes {
        let age = fleet::freshness_age(&node.state.fleet, net.now);
        assert!(age >= Duration::from_secs(25), "{age:?}");
    }
}
