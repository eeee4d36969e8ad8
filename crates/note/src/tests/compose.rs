//! Composing notes: the result of any series equals a naive rebuild.

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
fn a_zone_is_taken_out_by_a_short_change() {
    let change = r#"{"changed": {"zones": [{"name": "kranj", "state": "out"}]}}"#;
    let mut findings = Findings::default();
    let change = read_change(change, &mut findings).expect("the change is sound");
    let next = compose(&note(4), &change, &mut findings).expect("the result is sound");
    assert_eq!(next.revision, 5);
    assert_eq!(next.changed, ["zone/kranj"]);
    assert_eq!(next.fleet.zones[0].state, ZoneState::Out);
}

#[rstest]
#[case::change_of_nothing(r#"{"changed": {"zones": [{"name": "saki", "state": "out"}]}}"#)]
#[case::withdrawal_of_nothing(r#"{"withdrawn": ["zone/saki"]}"#)]
#[case::addition_of_what_is_there(r#"{"added": {"zones": [{"name": "kranj", "state": "in"}]}}"#)]
#[case::withdrawal_of_what_is_used(r#"{"withdrawn": ["service/katalog-1"]}"#)]
#[case::changed_fingerprint(r#"{"changed": {"released_fingerprints": [1]}}"#)]
fn a_change_that_cannot_be_made_is_refused(#[case] change: &str) {
    let mut findings = Findings::default();
    let change = read_change(change, &mut findings).expect("the form is sound");
    assert_eq!(compose(&note(4), &change, &mut findings), None);
    assert!(!findings.is_empty());
}

#[test]
fn an_unknown_field_of_a_change_is_refused() {
    let mut findings = Findings::default();
    assert_eq!(read_change(r#"{"chnged": {}}"#, &mut findings), None);
}

/// One step of an operator, for the composed note and for the naive model alike.
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

/// Returns the change for a step, and plays the step on the naive model.
fn change(step: &Step, model: &mut BTreeMap<String, Service>) -> Change {
    let mut change = Change::default();
    match *step {
        Step::Put(index, variant) => {
            let service = spare(index, variant);
            let earlier = model.insert(service.name.clone(), service.clone());
            let part = if earlier.is_some() {
                &mut change.changed
            } else {
                &mut change.added
            };
            part.services.push(service);
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
    fn a_series_of_changes_equals_a_naive_rebuild(steps in proptest::collection::vec(step(), 1..30)) {
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
            let real = diff(&current.fleet, &next.fleet);
            prop_assert_eq!(listed, [&real.added, &real.changed, &real.withdrawn]);
            prop_assert_eq!(spares(&next), model.clone());
            current = next;
        }
    }
}
