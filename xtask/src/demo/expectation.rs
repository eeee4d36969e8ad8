//! The expected behaviour, compared with what was observed.

use std::time::Duration;

use super::observation::{Checkpoint, Counts, Observations};

/// Time within which every instance must apply an accepted configuration.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(8);

/// An expectation and whether it was met.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// The expected behaviour, as a sentence.
    pub name: &'static str,
    pub is_met: bool,
    /// The observed value, for the report.
    pub actual: String,
}

/// Evaluates every expectation.
pub fn evaluate(observations: &Observations) -> Vec<Expectation> {
    let mut expectations = query_expectations(observations);
    expectations.extend(target_expectations(observations));
    expectations.extend(fleet_expectations(observations));
    expectations
}

fn query_expectations(observations: &Observations) -> Vec<Expectation> {
    let load = &observations.load_result;
    let sent = load["sent_count"].as_u64().unwrap_or(0);
    let complete = load["complete_count"].as_u64().unwrap_or(0);
    let partial = load["partial_count"].as_u64().unwrap_or(0);
    let coverage = &observations.answer["coverage"];
    vec![
        expectation(
            "every service answers the single query",
            coverage["answered_count"] == 20 && coverage["total_count"] == 20,
            format!("{}", coverage["answered_count"]),
        ),
        expectation(
            "every request of the load generator is answered",
            sent > 0 && sent == complete + partial,
            format!("{sent} sent, {complete} complete, {partial} partial"),
        ),
        expectation(
            "every answer reports its coverage correctly",
            load["untrue_count"] == 0,
            format!("{} incorrect", load["untrue_count"]),
        ),
        expectation(
            "every caller receives the answer to its own query",
            load["mixed_up_count"] == 0,
            format!("{} answers to another query", load["mixed_up_count"]),
        ),
    ]
}

fn target_expectations(observations: &Observations) -> Vec<Expectation> {
    let hedges = counts_at(observations, Checkpoint::DuringSlowdown).hedges_count
        - counts_at(observations, Checkpoint::BeforeSlowdown).hedges_count;
    let last = counts_at(observations, Checkpoint::ZoneRestored);
    vec![
        expectation(
            "calls to the slow target are hedged",
            hedges > 0.0,
            format!("{hedges} hedged calls while it was slow"),
        ),
        expectation(
            "no target exceeds its connection limit",
            last.connections_ratio > 0.0 && last.connections_ratio <= 1.0,
            format!(
                "at most {:.0} % of the limit",
                last.connections_ratio * 100.0
            ),
        ),
        expectation(
            "no cold target receives more calls than it accepts",
            last.cold_excess_count == 0,
            format!("{} excess calls", last.cold_excess_count),
        ),
    ]
}

fn fleet_expectations(observations: &Observations) -> Vec<Expectation> {
    let out_start = counts_at(observations, Checkpoint::ZoneOutStart).zone_received_count;
    let out_end = counts_at(observations, Checkpoint::ZoneOutEnd).zone_received_count;
    let restored = counts_at(observations, Checkpoint::ZoneRestored).zone_received_count;
    let max_time = observations.propagation_times.iter().max();
    let max_time = max_time.copied().unwrap_or(Duration::MAX);
    vec![
        expectation(
            "every instance applies a new configuration within 8 s",
            observations.propagation_times.len() == 2 && max_time <= PROPAGATION_LIMIT,
            format!("{} ms at most", max_time.as_millis()),
        ),
        expectation(
            "a zone out of service receives no calls after 3 s",
            out_start > 0 && out_end == out_start,
            format!("{} calls", out_end.saturating_sub(out_start)),
        ),
        expectation(
            "a zone brought back receives calls again",
            restored > out_end,
            format!("{} calls", restored.saturating_sub(out_end)),
        ),
    ]
}

fn counts_at(observations: &Observations, checkpoint: Checkpoint) -> Counts {
    observations
        .counts
        .get(&checkpoint)
        .copied()
        .unwrap_or_default()
}

fn expectation(name: &'static str, is_met: bool, actual: String) -> Expectation {
    Expectation {
        name,
        is_met,
        actual,
    }
}
