//! Tests of the measuring task.

use std::{collections::BTreeMap, path::PathBuf, time::Duration};

use bytes::Bytes;

use super::{
    case::Case,
    policy::{self, Policy},
    read_case, shipped_cases, world,
};

#[test]
fn every_shipped_case_can_be_read() {
    let paths = shipped_cases().expect("the directory of the cases can be read");
    assert!(!paths.is_empty());
    for path in paths {
        let case = read_case(&path).expect("the case has no findings");
        assert_eq!(
            Some(case.name.as_str()),
            path.file_stem().and_then(|stem| stem.to_str())
        );
    }
}

/// Without faults, the naive policy and the reducer give the same answers to the same requests.
#[test]
fn the_reducer_answers_like_the_naive_policy_while_nothing_fails() {
    let mut case = read_case(&case_path("healthy-oyo")).expect("the case has no findings");
    case.duration = Duration::from_secs(3);
    case.measure_from = Duration::ZERO;
    case.load_ratio = 0.1;
    let naive = answers(&case, Policy::Naive);
    let tier = answers(&case, Policy::Tier);
    assert!(naive.len() > 100);
    assert_eq!(naive.len(), tier.len());
    let differing = naive
        .iter()
        .find(|(number, results)| tier.get(number) != Some(results));
    assert_eq!(differing, None);
}

fn answers(case: &Case, policy: Policy) -> BTreeMap<u64, Vec<Bytes>> {
    let mut world = world::open(case, 5, true);
    world.tally.kept_results = Some(BTreeMap::new());
    policy::drive(&mut world, policy, 5).expect("the settings have no findings");
    world.tally.kept_results.unwrap_or_default()
}

fn case_path(name: &str) -> PathBuf {
    let paths = shipped_cases().expect("the directory of the cases can be read");
    let wanted = paths
        .into_iter()
        .find(|path| path.file_stem().is_some_and(|stem| stem == name));
    wanted.expect("the case is shipped")
}
