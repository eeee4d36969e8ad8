//! Acceptance of published notes, findings of rejected ones, and reads of the platform.

use std::time::Duration;

use fleet::JoinState;
use model::Event;
use rstest::rstest;

use super::{
    fixture::{Fixture, feed, fixture, note},
    membership::converged_network,
    network::{publish, run_for},
};
use crate::is_ready;

fn publish_note(fixture: &mut Fixture, version: u64, body: &str) {
    let body = body.as_bytes();
    feed(fixture, Event::PlatformNote { version, body });
}

#[rstest]
#[case::not_json("{", "$")]
#[case::same_revision(&note(1, 3), "$.revision")]
#[case::wrong_difference(&note(2, 3), "$.added")]
#[case::last_zone(&note(9, 2).replace(r#""state":"in"}]"#, r#""state":"out"}]"#)
    .replace(r#"{"name":"north","state":"in"}"#, r#"{"name":"north","state":"out"}"#), "$.fleet.zones")]
fn a_rejected_note_changes_only_the_reported_findings(#[case] body: &str, #[case] path: &str) {
    let mut fixture = fixture(2);
    publish_note(&mut fixture, 2, body);
    let fleet = &fixture.state.fleet;
    assert_eq!(fleet.revision(), 1);
    assert_eq!(fixture.state.routes.targets.len(), 4);
    let found = fleet
        .rejected
        .list
        .iter()
        .any(|finding| finding.path == path);
    assert!(found, "{}", fleet.rejected);
    assert!(
        fleet
            .rejected
            .list
            .iter()
            .all(|finding| finding.line.is_some())
    );
    publish_note(&mut fixture, 3, &note(12, 2));
    assert_eq!(fixture.state.fleet.revision(), 12);
    assert!(fixture.state.fleet.rejected.is_empty());
}

#[test]
fn a_lower_revision_neither_has_findings_nor_confirms() {
    let mut fixture = fixture(2);
    publish_note(&mut fixture, 2, &note(5, 2));
    let fresh_as_of = fixture.state.fleet.fresh_as_of;
    fixture.now += Duration::from_millis(100);
    publish_note(&mut fixture, 1, &note(1, 2));
    let fleet = &fixture.state.fleet;
    assert_eq!((fleet.revision(), fleet.fresh_as_of), (5, fresh_as_of));
    assert!(fleet.rejected.is_empty());
}

#[test]
fn a_rejected_newer_note_still_confirms_the_accepted_one() {
    let mut fixture = fixture(2);
    fixture.now += Duration::from_secs(60);
    publish_note(&mut fixture, 2, "{}");
    let age = fleet::freshness_age(&fixture.state.fleet, fixture.now);
    assert_eq!(age, Duration::ZERO);
}

#[test]
fn another_instance_of_the_zone_takes_over_when_a_reader_stops() {
    let mut net = converged_network(12, 1);
    let is_reader = |node: &super::network::Node| node.state.fleet.platform_reads.is_reader;
    let north: Vec<usize> = (0..12).step_by(3).collect();
    let readers = north.iter().filter(|&&index| is_reader(&net.nodes[index]));
    let readers: Vec<usize> = readers.copied().collect();
    assert_eq!(readers.len(), 2);
    net.nodes[readers[0]].is_down = true;
    run_for(&mut net, Duration::from_secs(4));
    let running = north.iter().filter(|&&index| !net.nodes[index].is_down);
    assert_eq!(
        running
            .filter(|&&index| is_reader(&net.nodes[index]))
            .count(),
        2
    );
}

#[test]
fn platform_reads_do_not_grow_with_the_fleet_during_an_outage() {
    let reads_of = |nodes_count| {
        let mut net = converged_network(nodes_count, 2);
        net.nodes
            .iter_mut()
            .for_each(|node| node.can_reach_platform = false);
        run_for(&mut net, Duration::from_secs(60));
        net.nodes.iter_mut().for_each(|node| node.reads.clear());
        run_for(&mut net, Duration::from_secs(60));
        net.nodes.iter().map(|node| node.reads.len()).sum::<usize>()
    };
    let budget = 3 * 2 * fleet::READS_PER_READER_MAX_PER_S as usize * 60;
    let (few, many) = (reads_of(9), reads_of(24));
    assert!(few < budget && many < budget, "{few} {many} {budget}");
}

#[test]
fn a_resumed_instance_becomes_ready_without_an_answer_from_peers_or_platform() {
    let mut net = converged_network(3, 3);
    for node in &mut net.nodes {
        node.can_reach_platform = false;
    }
    net.nodes[0].partition = 1;
    net.nodes[0].paused_until = Some(net.now + Duration::from_secs(30));
    run_for(&mut net, Duration::from_secs(32));
    assert!(!is_ready(&net.nodes[0].state));
    run_for(&mut net, Duration::from_secs(5));
    assert_eq!(net.nodes[0].state.fleet.join, JoinState::NoAnswer);
    assert!(is_ready(&net.nodes[0].state));
}

#[test]
fn a_resumed_instance_is_ready_only_with_the_newest_revision() {
    let mut net = converged_network(3, 4);
    net.nodes[0].paused_until = Some(net.now + Duration::from_secs(30));
    run_for(&mut net, Duration::from_secs(10));
    publish(&mut net, &note(7, 2));
    run_for(&mut net, Duration::from_secs(20));
    for _ in 0..200 {
        run_for(&mut net, Duration::from_millis(10));
        let node = &net.nodes[0];
        assert!(!is_ready(&node.state) || node.state.fleet.revision() == 7);
    }
    assert!(is_ready(&net.nodes[0].state));
}
