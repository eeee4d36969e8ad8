//! Tests of composing notes, including a property test against a reference model.

use std::collections::BTreeMap;

use findings::Findings;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rstest::rstest;

use super::fixture::{note, service, zone};
use crate::{Change, Note, Service, ZoneState, compose, diff, read, read_change};

#[test]
fn change_needs_only_the_changed_zone() {
    let change = r#"{"changed": {"zones": [{"name": "kranj", "state": "out"}]}}"#;
    let mut findings = Findings::default();
    let change = read_change(change, &mut findings).expect("the change is valid");
    let next = compose(&note(4), &change, &mut findings).expect("the resulting note is valid");
    assert_eq!(next.revision, 5);
    assert_eq!(next.changed, ["zone/kranj"]);
    assert_eq!(next.fleet.zones[0].state, ZoneState::Out);
}

#[rstest]
#[case::change_of_unknown_zone(r#"{"changed": {"zones": [{"name": "saki", "state": "out"}]}}"#)]
#[case::withdrawal_of_unknown_zone(r#"{"withdrawn": ["zone/saki"]}"#)]
#[case::addition_of_existing_zone(r#"{"added": {"zones": [{"name": "kranj", "state": "in"}]}}"#)]
#[case::withdrawal_of_referenced_service(r#"{"withdrawn": ["service/katalog-1"]}"#)]
#[case::changed_fingerprint(r#"{"changed": {"released_fingerprints": [1]}}"#)]
fn inapplicable_change_is_rejected(#[case] change: &str) {
    let mut findings = Findings::default();
    let change = read_change(change, &mut findings).expect("the change is well-formed");
    assert_eq!(compose(&note(4), &change, &mut findings), None);
    assert!(!findings.is_empty());
}

#[test]
fn unknown_field_of_change_is_rejected() {
    let mut findings = Findings::default();
    assert_eq!(read_change(r#"{"chnged": {}}"#, &mut findings), None);
}

/// One operator action, applied to both the composed note and the reference model.
#[derive(Clone, Debug)]
enum Step {
    Put(u8, u16),
    Withdraw(u8),
    Zone(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..5_u8, 0..3_u16).prop_map(|(index, port)| Step::Put(index, port)),
        (0..5_u8).prop_map(Step::Withdraw),
        any::<bool>().prop_map(Step::Zone),
    ]
}

fn spare(index: u8, variant: u16) -> Service {
    service(
        &format!("spare-{index}"),
        2000 + u16::from(index) * 30 + variant * 10,
    )
}

/// Returns the change for a step and applies the step to the reference model.
fn change(step: &Step, model: &mut BTreeMap<String, Service>) -> Change {
    let mut change = Change::default();
    match *step {
        Step::Put(index, variant) => {
            let service = spare(index, variant);
            let previous = model.insert(service.name.clone(), service.clone());
            let partial_fleet = if previous.is_some() {
                &mut change.changed
            } else {
                &mut change.added
            };
            partial_fleet.services.push(service);
        }
        Step::Withdraw(index) => {
            let name = format!("spare-{index}");
            if model.remove(&name).is_some() {
                change.withdrawn.push(format!("service/{name}"));
            }
        }
        Step::Zone(is_out) => {
            let mut kranj = zone("kranj");
            if is_out {
                kranj.state = ZoneState::Out;
            }
            change.changed.zones.push(kranj);
        }
    }
    change
}

fn spares(note: &Note) -> BTreeMap<String, Service> {
    let services = note.fleet.services.iter();
    let spares = services.filter(|service| service.name.starts_with("spare"));
    spares
        .map(|service| (service.name.clone(), service.clone()))
        .collect()
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        cases: 64,
        ..Config::default()
    })]

    #[test]
    fn series_of_changes_matches_reference_model(steps in proptest::collection::vec(step(), 1..30)) {
        let mut model = BTreeMap::new();
        let mut current = note(1);
        for step in &steps {
            let change = change(step, &mut model);
            let mut findings = Findings::default();
            let next = compose(&current, &change, &mut findings);
            prop_assert!(findings.is_empty(), "{findings}");
            let next = next.expect("there are no findings");
            let document = serde_json::to_string(&next).expect("notes can be encoded");
            let reread = read(&document, &mut findings);
            prop_assert_eq!(reread.as_ref(), Some(&next));
            let listed = [&next.added, &next.changed, &next.withdrawn];
            let expected = diff(&current.fleet, &next.fleet);
            prop_assert_eq!(listed, [&expected.added, &expected.changed, &expected.withdrawn]);
            prop_assert_eq!(spares(&next), model.clone());
            current = next;
        }
    }
}
