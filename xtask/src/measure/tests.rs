//! Tests of the simulation and of the cases in the repository.

use std::{collections::BTreeMap, path::PathBuf, time::Duration};

use bytes::Bytes;

use super::{
    case::Case,
    load_case,
    policy::{self, Policy},
    repository_cases, simulation,
};

#[test]
fn repository_cases_are_valid() {
    let paths = repository_cases().expect("the directory of the cases can be read");
    assert!(!paths.is_empty());
    for path in paths {
        let case = load_case(&path).expect("the case has no findings");
        assert_eq!(
            Some(case.name.as_str()),
            path.file_stem().and_then(|stem| stem.to_str())
        );
    }
}

/// Guards against wrong results of the reducer: without faults and at low load, it must return the
/// same results as the naive policy for the same requests.
#[test]
fn reducer_matches_naive_policy_without_faults() {
    let mut case = load_case(&case_path("healthy-oyo")).expect("the case has no findings");
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
    let mut sim = simulation::new(case, 5, true);
    sim.stats.recorded_results = Some(BTreeMap::new());
    policy::run(&mut sim, policy, 5).expect("the settings have no findings");
    sim.stats.recorded_results.unwrap_or_default()
}

fn case_path(name: &str) -> PathBuf {
    let paths = repository_cases().expect("the directory of the cases can be read");
    let wanted = paths
        .into_iter()
        .find(|path| path.file_stem().is_some_and(|stem| stem == name));
    wanted.expect("the case is in the repository")
}
