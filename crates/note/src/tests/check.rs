//! Tests that all faults of a note are reported at once, each with its position.

use findings::Findings;
use rstest::rstest;

use super::fixture::{note, service, zone};
use crate::{AcceptedRequests, Note, TargetState, ZoneState, check, check_difference, read};

fn paths(findings: &Findings) -> Vec<&str> {
    findings
        .list
        .iter()
        .map(|finding| finding.path.as_str())
        .collect()
}

#[test]
fn consistent_note_has_no_findings() {
    let document = serde_json::to_string(&note(3)).expect("notes can be encoded");
    let mut findings = Findings::default();
    assert_eq!(read(&document, &mut findings), Some(note(3)));
    assert!(findings.is_empty());
}

#[rstest]
#[case::zone_twice(|n: &mut Note| n.fleet.zones.push(zone("kranj")), &["$.fleet.zones[2].name"])]
#[case::service_twice(
    |n: &mut Note| n.fleet.services.push(service("katalog-1", 1020)),
    &[
        "$.fleet.services[2].name",
        "$.fleet.services[2].targets[0].name",
        "$.fleet.services[2].targets[1].name",
    ]
)]
#[case::address_twice(
    |n: &mut Note| n.fleet.services.push(service("other", 1000)),
    &["$.fleet.services[2].targets[0].address", "$.fleet.services[2].targets[1].address"]
)]
#[case::name_with_slash(
    |n: &mut Note| n.fleet.zones.push(zone("a/b")),
    &["$.fleet.zones[2].name"]
)]
#[case::long_name(
    |n: &mut Note| n.fleet.zones.push(zone(&"z".repeat(65))),
    &["$.fleet.zones[2].name"]
)]
#[case::unknown_zone_of_target(
    |n: &mut Note| n.fleet.services[1].targets[0].zone = "saki".to_owned(),
    &["$.fleet.services[1].targets[0].zone"]
)]
#[case::unknown_zone_of_front(
    |n: &mut Note| n.fleet.fronts[0].zones = vec!["kranj".to_owned(), "saki".to_owned()],
    &["$.fleet.fronts[0].zones[1]"]
)]
#[case::unknown_service(
    |n: &mut Note| n.fleet.fronts[0].shard_maps[0].services[1] = "gone".to_owned(),
    &["$.fleet.fronts[0].shard_maps[0].services[1]"]
)]
#[case::service_without_target(
    |n: &mut Note| n.fleet.services[1].targets.clear(),
    &["$.fleet.services[1].targets"]
)]
#[case::snapshots_out_of_order(
    |n: &mut Note| {
        let map = n.fleet.fronts[0].shard_maps[0].clone();
        n.fleet.fronts[0].shard_maps.push(map);
    },
    &["$.fleet.fronts[0].shard_maps[1].from_snapshot"]
)]
#[case::empty_front(
    |n: &mut Note| n.fleet.fronts[0].shard_maps.clear(),
    &["$.fleet.fronts[0].shard_maps", "$.fleet.fronts[0]"]
)]
#[case::front_without_usable_target(
    |n: &mut Note| {
        n.fleet.zones[0].state = ZoneState::Out;
        for service in &mut n.fleet.services {
            service.targets[1].state = TargetState::Leaving;
        }
    },
    &["$.fleet.fronts[0]"]
)]
#[case::last_zone_out(
    |n: &mut Note| n.fleet.zones.iter_mut().for_each(|zone| zone.state = ZoneState::Out),
    &["$.fleet.zones"]
)]
#[case::added_but_absent(
    |n: &mut Note| n.added.push("service/other".to_owned()),
    &["$.added[0]"]
)]
#[case::withdrawn_but_present(
    |n: &mut Note| n.withdrawn.push("zone/kranj".to_owned()),
    &["$.withdrawn[0]"]
)]
#[case::listed_twice(
    |n: &mut Note| {
        n.added.push("zone/kranj".to_owned());
        n.changed.push("zone/kranj".to_owned());
    },
    &["$.changed[0]"]
)]
#[case::fingerprint_twice(
    |n: &mut Note| n.fleet.released_fingerprints.push(7),
    &["$.fleet.released_fingerprints[1]"]
)]
fn inconsistency_is_found_at_its_path(
    #[case] corrupt: impl Fn(&mut Note),
    #[case] expected: &[&str],
) {
    let mut note = note(3);
    corrupt(&mut note);
    let mut findings = Findings::default();
    check(&note, &mut findings);
    assert_eq!(paths(&findings), expected);
}

#[test]
fn read_reports_all_findings_with_lines() {
    let mut faulty = note(3);
    faulty.fleet.services[0].targets[0].zone = "saki".to_owned();
    faulty.fleet.fronts[0].shard_maps[0]
        .services
        .push("gone".to_owned());
    let document = serde_json::to_string_pretty(&faulty).expect("notes can be encoded");
    let mut findings = Findings::default();
    assert_eq!(read(&document, &mut findings), None);
    assert_eq!(findings.list.len(), 2);
    for finding in &findings.list {
        let line = finding.line.expect("the finding has a line") as usize;
        let text = document.lines().nth(line - 1).expect("the line exists");
        assert!(text.contains("saki") || text.contains("gone"), "{text}");
    }
}

#[rstest]
#[case::direct_predecessor(3, &["$.added[0]", "$.changed"])]
#[case::gap(4, &[])]
fn listed_paths_are_checked_against_direct_predecessor_only(
    #[case] revision: u64,
    #[case] expected: &[&str],
) {
    let previous = note(2);
    let mut next = note(revision);
    next.fleet.zones[0].state = ZoneState::Out;
    next.added.push("service/katalog-1".to_owned());
    let mut findings = Findings::default();
    check_difference(&previous, &next, &mut findings);
    assert_eq!(paths(&findings), expected);
}

#[rstest]
#[case::absent(None, Some(AcceptedRequests::Any))]
#[case::any(Some("any"), Some(AcceptedRequests::Any))]
#[case::once(Some("once"), Some(AcceptedRequests::Once))]
#[case::unknown(Some("twice"), None)]
fn reads_which_requests_a_front_accepts(
    #[case] word: Option<&str>,
    #[case] expected: Option<AcceptedRequests>,
) {
    let mut document = serde_json::to_value(note(3)).expect("notes can be encoded");
    let front = &mut document["fleet"]["fronts"][0];
    match word {
        Some(word) => front["requests"] = word.into(),
        None => {
            let fields = front.as_object_mut().expect("a front is an object");
            fields.remove("requests");
        }
    }
    let mut findings = Findings::default();
    let read = read(&document.to_string(), &mut findings);
    let requests = read.map(|note| note.fleet.fronts[0].requests);
    assert_eq!(requests, expected);
    let is_faulty = paths(&findings) == ["$.fleet.fronts[0].requests"];
    assert_eq!(is_faulty, expected.is_none());
}
