//! Tests of the scenario and of the evaluation of expectations.

use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use super::{
    expectation::evaluate,
    observation::{Checkpoint, Counts, Observation, Observations},
    scenario::{Demo, Step, reduce},
};

#[test]
fn scenario_terminates() {
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
fn expectations_fail_without_observations() {
    let met = evaluate(&Observations::default())
        .into_iter()
        .filter(|expectation| expectation.is_met);
    let met: Vec<&str> = met.map(|expectation| expectation.name).collect();
    assert_eq!(met, ["no cold target receives more calls than it accepts"]);
}

#[rstest]
#[case::all_met(|_: &mut Observations| {}, 0)]
#[case::unanswered_request(
    |seen: &mut Observations| seen.load_result["complete_count"] = json!(99),
    1
)]
#[case::incorrect_coverage(
    |seen: &mut Observations| seen.load_result["untrue_count"] = json!(1),
    1
)]
#[case::swapped_answers(|seen: &mut Observations| seen.load_result["mixed_up_count"] = json!(1), 1)]
#[case::calls_to_zone_out(
    |seen: &mut Observations| set_received(seen, Checkpoint::ZoneOutEnd, 51),
    1
)]
#[case::no_calls_when_restored(
    |seen: &mut Observations| set_received(seen, Checkpoint::ZoneRestored, 50),
    1
)]
#[case::slow_propagation(
    |seen: &mut Observations| seen.propagation_times[0] = Duration::from_secs(9),
    1
)]
fn violated_expectation_is_reported(
    #[case] modify: fn(&mut Observations),
    #[case] failed_count: usize,
) {
    let mut observations = all_met();
    modify(&mut observations);
    let failed = evaluate(&observations)
        .into_iter()
        .filter(|expectation| !expectation.is_met);
    assert_eq!(failed.count(), failed_count);
}

fn set_received(observations: &mut Observations, checkpoint: Checkpoint, zone_received_count: u64) {
    if let Some(counts) = observations.counts.get_mut(&checkpoint) {
        counts.zone_received_count = zone_received_count;
    }
}

fn all_met() -> Observations {
    let counts = |zone_received_count, hedges_count| Counts {
        zone_received_count,
        hedges_count,
        connections_ratio: 0.5,
        cold_excess_count: 0,
    };
    Observations {
        answer: json!({"coverage": {"answered_count": 20, "total_count": 20}}),
        counts: [
            (Checkpoint::BeforeSlowdown, counts(10, 0.0)),
            (Checkpoint::DuringSlowdown, counts(40, 7.0)),
            (Checkpoint::ZoneOutStart, counts(50, 7.0)),
            (Checkpoint::ZoneOutEnd, counts(50, 7.0)),
            (Checkpoint::ZoneRestored, counts(60, 8.0)),
        ]
        .into(),
        propagation_times: vec![Duration::from_secs(1), Duration::from_secs(2)],
        load_result: json!({
            "sent_count": 100, "complete_count": 98, "partial_count": 2,
            "untrue_count": 0, "mixed_up_count": 0,
        }),
    }
}
