//! Confinement of calls to zones once the configuration may be stale.

use std::{
    borrow::Cow,
    time::{Duration, Instant},
};

use model::{Digest, Effect, Event, Message, Timer};

use super::{
    fixture::{Fixture, digest_of, feed, settings},
    membership::converged_network,
    network::{Network, run_for, send_request},
};
use crate::new_state;

/// Index of an instance in the zone `west`, which has no target of its own.
const WEST: usize = 2;
/// Index of an instance in the zone `north`, which has a target of every service.
const NORTH: usize = 0;

/// Sends requests through an instance and returns the zones that it calls, sorted.
fn called_zones(net: &mut Network, index: usize) -> Vec<String> {
    net.nodes[index].calls.clear();
    for number in 0..20 {
        send_request(net, index, 1000 + number);
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
    let mut net = converged_network(6, 1);
    for node in &mut net.nodes {
        node.can_reach_platform = false;
    }
    run_for(&mut net, Duration::from_secs(120));
    assert!(net.nodes[WEST].state.fleet.is_stale);
    assert!(!called_zones(&mut net, WEST).is_empty());
}

#[test]
fn an_instance_that_reaches_no_peer_calls_only_its_own_zone() {
    let mut net = converged_network(6, 2);
    for index in [WEST, NORTH] {
        net.nodes[index].can_reach_platform = false;
        net.nodes[index].partition = 1 + u32::try_from(index).expect("the index is small");
    }
    run_for(&mut net, Duration::from_secs(12));
    assert_eq!(called_zones(&mut net, NORTH), ["north"]);
    assert!(called_zones(&mut net, WEST).is_empty());
    assert!(net.nodes[WEST].state.routes.confined_to.is_some());
    for node in &mut net.nodes {
        node.partition = 0;
    }
    run_for(&mut net, Duration::from_secs(5));
    assert!(!called_zones(&mut net, WEST).is_empty());
}

#[test]
fn a_zone_without_the_platform_stays_fresh_through_other_zones() {
    let mut net = converged_network(6, 3);
    for index in [WEST, WEST + 3] {
        net.nodes[index].can_reach_platform = false;
    }
    run_for(&mut net, Duration::from_secs(60));
    assert!(!net.nodes[WEST].state.fleet.is_stale);
}

#[test]
fn a_resumed_instance_calls_no_other_zone_before_it_is_confirmed_again() {
    let mut net = converged_network(6, 4);
    run_for(&mut net, Duration::from_secs(5));
    let resumes_at = net.now + Duration::from_secs(4);
    net.nodes[WEST].paused_until = Some(resumes_at);
    send_request(&mut net, WEST, 1);
    net.nodes[WEST].calls.clear();
    run_for(&mut net, Duration::from_secs(4) + Duration::from_micros(1));
    assert!(net.nodes[WEST].state.routes.confined_to.is_some());
    assert!(net.nodes[WEST].calls.is_empty());
    run_for(&mut net, Duration::from_secs(1));
    assert!(!called_zones(&mut net, WEST).is_empty());
}

#[test]
fn a_delayed_digest_does_not_confirm_freshness() {
    let mut net = converged_network(3, 5);
    for node in &mut net.nodes {
        node.can_reach_platform = false;
    }
    net.faults.delay_max = Duration::from_secs(1);
    run_for(&mut net, Duration::from_secs(30));
    for node in &net.nodes {
        let age = fleet::freshness_age(&node.state.fleet, net.now);
        assert!(age >= Duration::from_secs(25), "{age:?}");
    }
}

/// Guards against a reply to a probe of an earlier process that confirms the configuration of the
/// current one.
#[test]
fn a_reply_to_an_earlier_process_confirms_nothing() {
    let earlier_number = first_probe_number(&mut instance(1));
    let mut current = instance(2);
    let number = first_probe_number(&mut current);
    for (number, is_confirmed) in [(earlier_number, false), (number, true)] {
        let message = Cow::Owned(digest_of_peer(number));
        feed(&mut current, Event::Peer { message });
        let peer = &current.state.fleet.members["south-1"];
        assert_eq!(peer.confirmed_at.is_some(), is_confirmed);
    }
}

/// Returns an instance that knows one other.
fn instance(seed: u64) -> Fixture {
    let mut instance = Fixture {
        state: new_state(settings(), seed, seed),
        now: Instant::now(),
        out: Vec::new(),
    };
    let message = Cow::Owned(digest_of_peer(0));
    feed(&mut instance, Event::Peer { message });
    instance
}

/// Lets an instance probe the other one; returns the number of the probe.
fn first_probe_number(instance: &mut Fixture) -> u64 {
    feed(instance, Event::Timer(Timer::Tick));
    let mut effects = instance.out.iter();
    let number = effects.find_map(|effect| match effect {
        Effect::Send {
            message: Message::Digest(digest),
            ..
        } if digest.wants_reply => Some(digest.sequence),
        _ => None,
    });
    number.expect("the other instance is probed")
}

fn digest_of_peer(sequence: u64) -> Message {
    let Message::Digest(digest) = digest_of("south", "south-1", 0) else {
        unreachable!("it returns a digest");
    };
    Message::Digest(Digest { sequence, ..digest })
}
