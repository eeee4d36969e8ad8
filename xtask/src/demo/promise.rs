//! What was promised, compared with what was observed.

use std::time::Duration;

use super::observe::{Counts, Mark, Observed};

/// Time within which an accepted configuration is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(8);

/// A promise and whether it held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promise {
    /// What was promised.
    pub name: &'static str,
    /// Whether it held.
    pub is_held: bool,
    /// What was seen.
    pub seen: String,
}

/// Judges every promise.
pub fn judge(observed: &Observed) -> Vec<Promise> {
    let mut promises = answers(observed);
    promises.extend(targets(observed));
    promises.extend(fleet(observed));
    promises
}

fn answers(observed: &Observed) -> Vec<Promise> {
    let load = &observed.load;
    let sent = load["sent_count"].as_u64().unwrap_or(0);
    let complete = load["complete_count"].as_u64().unwrap_or(0);
    let partial = load["partial_count"].as_u64().unwrap_or(0);
    let coverage = &observed.answer["coverage"];
    vec![
        promise(
            "the single query is answered by every service",
            coverage["answered_count"] == 20 && coverage["total_count"] == 20,
            format!("{}", coverage["answered_count"]),
        ),
        promise(
            "every request of the load is answered",
            sent > 0 && sent == complete + partial,
            format!("{sent} sent, {complete} complete, {partial} partial"),
        ),
        promise(
            "every answer states its coverage truly",
            load["untrue_count"] == 0,
            format!("{} untrue", load["untrue_count"]),
        ),
        promise(
            "every caller receives the answer to its own query",
            load["mixed_up_count"] == 0,
            format!("{} results mixed up", load["mixed_up_count"]),
        ),
    ]
}

fn targets(observed: &Observed) -> Vec<Promise> {
    let hedges =
        at(observed, Mark::AfterSlow).hedges_count - at(observed, Mark::BeforeSlow).hedges_count;
    let last = at(observed, Mark::ZoneBack);
    vec![
        promise(
            "calls to the slow target are hedged",
            hedges > 0.0,
            format!("{hedges} hedges while it was slow"),
        ),
        promise(
            "no target holds more connections than it permits",
            last.connections_ratio > 0.0 && last.connections_ratio <= 1.0,
            format!(
                "at most {:.0} % of the limit",
                last.connections_ratio * 100.0
            ),
        ),
        promise(
            "a cold target receives no more than it bears",
            last.cold_excess_count == 0,
            format!("{} calls above", last.cold_excess_count),
        ),
    ]
}

fn fleet(observed: &Observed) -> Vec<Promise> {
    let out = at(observed, Mark::ZoneOut).zone_received_count;
    let still_out = at(observed, Mark::ZoneStillOut).zone_received_count;
    let back = at(observed, Mark::ZoneBack).zone_received_count;
    let slowest = observed.in_force.iter().max();
    let slowest = slowest.copied().unwrap_or(Duration::MAX);
    vec![
        promise(
            "a new configuration is in force everywhere within 8 s",
            observed.in_force.len() == 2 && slowest <= IN_FORCE_LIMIT,
            format!("{} ms at most", slowest.as_millis()),
        ),
        promise(
            "the zone that is out receives no new work after 3 s",
            out > 0 && still_out == out,
            format!("{} calls", still_out.saturating_sub(out)),
        ),
        promise(
            "the zone that came back receives work again",
            back > still_out,
            format!("{} calls", back.saturating_sub(still_out)),
        ),
    ]
}

fn at(observed: &Observed, mark: Mark) -> Counts {
    observed.counts.get(&mark).copied().unwrap_or_default()
}

fn promise(name: &'static str, is_held: bool, seen: String) -> Promise {
    Promise {
        name,
        is_held,
        seen,
    }
}
