//! Tests of the script and of the judgement.

use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use super::{
    observe::{Counts, Mark, Observation, Observed},
    promise::judge,
    script::{Demo, Step, reduce},
};

#[test]
fn the_script_ends_by_itself() {
    let mut demo = Demo::default();
    let mut steps = Vec::new();
    let mut next = reduce(&mut demo, Observation::Started);
    while let Some(step) = next {
        steps.push(step);
        next = reduce(&mut demo, Observation::Done);
    }
    assert!(steps.contains(&Step::StartLoad) && steps.contains(&Step::AwaitLoad));
}

#[test]
fn every_promise_is_broken_if_nothing_was_observed() {
    let held = judge(&Observed::default())
        .into_iter()
        .filter(|one| one.is_held);
    let held: Vec<&str> = held.map(|one| one.name).collect();
    assert_eq!(held, ["a cold target receives no more than it bears"]);
}

#[rstest]
#[case::as_promised(|_: &mut Observed| {}, 0)]
#[case::lost_request(|seen: &mut Observed| seen.load["complete_count"] = json!(99), 1)]
#[case::untrue_coverage(|seen: &mut Observed| seen.load["untrue_count"] = json!(1), 1)]
#[case::mixed_up(|seen: &mut Observed| seen.load["mixed_up_count"] = json!(1), 1)]
#[case::work_for_the_zone(|seen: &mut Observed| at(seen, Mark::ZoneStillOut, 51), 1)]
#[case::no_work_afterwards(|seen: &mut Observed| at(seen, Mark::ZoneBack, 50), 1)]
#[case::slow_spreading(|seen: &mut Observed| seen.in_force[0] = Duration::from_secs(9), 1)]
fn a_broken_promise_is_noticed(#[case] spoil: fn(&mut Observed), #[case] broken_count: usize) {
    let mut observed = as_promised();
    spoil(&mut observed);
    let broken = judge(&observed).into_iter().filter(|one| !one.is_held);
    assert_eq!(broken.count(), broken_count);
}

fn at(observed: &mut Observed, mark: Mark, zone_received_count: u64) {
    if let Some(counts) = observed.counts.get_mut(&mark) {
        counts.zone_received_count = zone_received_count;
    }
}

fn as_promised() -> Observed {
    let counts = |zone_received_count, hedges_count| Counts {
        zone_received_count,
        hedges_count,
        connections_ratio: 0.5,
        cold_excess_count: 0,
    };
    Observed {
        answer: json!({"coverage": {"answered_count": 20, "total_count": 20}}),
        counts: [
            (Mark::BeforeSlow, counts(10, 0.0)),
            (Mark::AfterSlow, counts(40, 7.0)),
            (Mark::ZoneOut, counts(50, 7.0)),
            (Mark::ZoneStillOut, counts(50, 7.0)),
            (Mark::ZoneBack, counts(60, 8.0)),
        ]
        .into(),
        in_force: vec![Duration::from_secs(1), Duration::from_secs(2)],
        load: json!({
            "sent_count": 100, "complete_count": 98, "partial_count": 2,
            "untrue_count": 0, "mixed_up_count": 0,
        }),
    }
}
