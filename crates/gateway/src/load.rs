//! Estimates of a target's load from its own reports.
//!
//! Pure functions over a target's health; the current time is a parameter.
//!
//! A target may state how long work currently takes on its machine. The stated figure is predicted
//! from its mean and its last value; how much the last value still says at some age is measured for
//! each target from how well earlier values predicted later ones.

use std::time::{Duration, Instant};

use model::{FrontKey, SlotLoad};
use serde::Serialize;
use slotmap::SecondaryMap;

use crate::{Gateway, Health, latency, latency::LatencyEstimate};

/// Age from which on the counts of a load report are ignored; their weight falls linearly until
/// then. Requests take 7 to 160 ms, so queues have changed by then.
const COUNTS_MAX_AGE_MS: f64 = 200.0;
/// Upper ends of the ages for which the persistence of the work ratio is measured apart; a figure
/// older than the last one says nothing beyond its mean.
const AGE_STEPS_MS: [f64; 6] = [100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0];
/// Age at which a figure of a target without observations has lost 63% of its weight.
const PRIOR_PERSISTENCE_MS: f64 = 200.0;
/// Weight of a new figure in the moving mean and the persistence, once both have settled.
const FIGURE_WEIGHT_MIN: f64 = 0.05;
/// Weight of a new report in the moving mean of the occupancy, once it has settled.
const OCCUPANCY_WEIGHT_MIN: f64 = 0.02;
/// Reports of a target from which on its occupancy counts in the spread; fewer vary too much.
const SPREAD_REPORTS_MIN_COUNT: u32 = 20;
/// Number of replies that the common normal latency of a front counts for beside the target's own.
/// Queues vary the latency of single replies by more than targets differ; with 5, targets that
/// state a wrong figure got too much.
const FRONT_REPLIES_COUNT: f64 = 2.0;
/// Part of the mean wait in a target's queue that is added to its latency. The latency of earlier
/// replies contains the wait already; this lets the other instances' requests count for more.
const WAIT_FACTOR: f64 = 0.5;
/// Number of own replies after which the moving mean no longer gets more exact.
const OWN_REPLIES_MAX_COUNT: f64 = 10.0;

/// What a target states about its load, and what follows from it.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct TargetLoad {
    /// Last report and when it arrived.
    #[serde(skip)]
    pub report: Option<(SlotLoad, Instant)>,
    /// Estimate of the work ratio; `None` unless the last report states one.
    pub work: Option<WorkEstimate>,
    /// Moving mean of the reported requests for each slot, running and waiting.
    pub occupancy_ratio: f64,
    /// Number of reports so far.
    pub reports_count: u32,
    /// The estimate at the last tick, for operators.
    pub summary: Option<LoadSummary>,
}

/// A target's estimated load at some time.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct LoadSummary {
    /// Estimated requests at the target.
    pub requests_count: f64,
    /// Predicted work ratio, if the target states one.
    pub work_ratio: Option<f64>,
    /// Age of the report that the estimate is made from.
    pub age_ms: u64,
}

/// Estimate of how long work takes on a target's machine, relative to the normal time.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct WorkEstimate {
    /// Last value.
    pub last_ratio: f64,
    /// Moving mean.
    pub mean_ratio: f64,
    /// Moving variance.
    pub variance: f64,
    /// Number of values so far.
    pub reports_count: u32,
    /// Moving mean of the wait that the target's queue adds to a request, in multiples of its work.
    pub wait_ratio: f64,
    /// How much of the last value's difference from the mean is left, for each age.
    pub persistence_ratios: [f64; AGE_STEPS_MS.len()],
    /// Latency for each front as it would be with a work ratio of 1.
    pub normal_latency: SecondaryMap<FrontKey, LatencyEstimate>,
}

/// Records a load report.
pub(crate) fn record_report(load: &mut TargetLoad, report: SlotLoad, now: Instant) {
    let previous = load.report.replace((report, now));
    let slots = f64::from(report.slots_count.max(1));
    let requests = f64::from(report.running_count.saturating_add(report.waiting_count));
    load.reports_count = load.reports_count.saturating_add(1);
    let weight = OCCUPANCY_WEIGHT_MIN.max(1.0 / f64::from(load.reports_count));
    load.occupancy_ratio += weight * (requests / slots - load.occupancy_ratio);
    let Some(percent) = report.work_percent else {
        load.work = None;
        return;
    };
    let ratio = f64::from(percent) / 100.0;
    let wait_ratio = (requests + 1.0 - slots).max(0.0) / slots;
    let Some(work) = &mut load.work else {
        load.work = Some(WorkEstimate {
            last_ratio: ratio,
            mean_ratio: ratio,
            variance: 0.0,
            reports_count: 1,
            wait_ratio,
            persistence_ratios: AGE_STEPS_MS.map(|age_ms| (-age_ms / PRIOR_PERSISTENCE_MS).exp()),
            normal_latency: SecondaryMap::new(),
        });
        return;
    };
    let gap_ms = previous.map_or(f64::MAX, |(_, at)| age_ms(at, now));
    observe_persistence(work, ratio, gap_ms);
    work.reports_count = work.reports_count.saturating_add(1);
    let weight = FIGURE_WEIGHT_MIN.max(1.0 / f64::from(work.reports_count));
    work.wait_ratio += weight * (wait_ratio - work.wait_ratio);
    let difference = ratio - work.mean_ratio;
    work.mean_ratio += weight * difference;
    work.variance = (1.0 - weight) * (work.variance + weight * difference * difference);
    work.last_ratio = ratio;
}

/// Updates the persistence at the age that the last value has reached. Its expected value is the
/// autocorrelation of the figure, so values that agree by chance cancel out.
fn observe_persistence(work: &mut WorkEstimate, ratio: f64, gap_ms: f64) {
    let step = AGE_STEPS_MS.iter().position(|&step_ms| gap_ms <= step_ms);
    let (Some(step), true) = (step, work.variance > 0.0) else {
        return;
    };
    let before = work.last_ratio - work.mean_ratio;
    let error = (ratio - work.mean_ratio) - work.persistence_ratios[step] * before;
    let change = FIGURE_WEIGHT_MIN * error * before / work.variance;
    let persistence = &mut work.persistence_ratios[step];
    *persistence = (*persistence + change.clamp(-0.2, 0.2)).clamp(0.0, 1.0);
}

/// Records the latency of a successful reply; returns it as it would be with a work ratio of 1, if
/// the target states the ratio.
pub(crate) fn record_latency(
    load: &mut TargetLoad,
    front: FrontKey,
    took: Duration,
) -> Option<Duration> {
    let work = load.work.as_mut()?;
    let normal = took.div_f64(work.last_ratio);
    if let Some(estimate) = work.normal_latency.entry(front) {
        latency::observe(estimate.or_default(), normal);
    }
    Some(normal)
}

/// Predicts the work ratio at a time.
pub(crate) fn work_ratio(load: &TargetLoad, now: Instant) -> Option<f64> {
    let work = load.work.as_ref()?;
    let age_ms = load
        .report
        .map_or(f64::MAX, |(_, reported_at)| age_ms(reported_at, now));
    let step = AGE_STEPS_MS.iter().position(|&step_ms| age_ms <= step_ms);
    let persistence = step.map_or(0.0, |step| work.persistence_ratios[step]);
    Some(work.mean_ratio + (work.last_ratio - work.mean_ratio) * persistence)
}

/// Predicts the latency of a request on a front, without its wait in the target's queue; `None`
/// unless the target states its work ratio.
pub(crate) fn reply_ms(
    load: &TargetLoad,
    now: Instant,
    front: FrontKey,
    front_normal: &LatencyEstimate,
) -> Option<f64> {
    let ratio = work_ratio(load, now)?;
    let own = load.work.as_ref()?.normal_latency.get(front).copied();
    let own = own.unwrap_or_default();
    let own_count = f64::from(own.replies_count).min(OWN_REPLIES_MAX_COUNT);
    let front_count = match front_normal.replies_count {
        0 => 0.0,
        _ => FRONT_REPLIES_COUNT,
    };
    let count = own_count + front_count;
    let normal_ms = (own.mean_ms * own_count + front_normal.mean_ms * front_count) / count;
    let work = load.work.as_ref()?;
    let wait_ms = normal_ms * work.mean_ratio * work.wait_ratio * WAIT_FACTOR;
    (count > 0.0).then_some(normal_ms * ratio + wait_ms)
}

/// Estimates the number of requests at a target from its last load report and the attempts of this
/// instance.
pub(crate) fn requests_count(health: &Health, now: Instant) -> f64 {
    let own_count = health.in_flight.len() as f64;
    let Some((report, at)) = health.load.report else {
        return own_count;
    };
    let weight = (1.0 - age_ms(at, now) / COUNTS_MAX_AGE_MS).max(0.0);
    own_count.max(f64::from(report.running_count.saturating_add(report.waiting_count)) * weight)
}

/// Renews the summary of each target's load and the spread that this instance observes.
pub(crate) fn refresh(gateway: &mut Gateway, now: Instant) {
    for health in gateway.health.values_mut() {
        let requests_count = requests_count(health, now);
        let work_ratio = work_ratio(&health.load, now);
        health.load.summary = health.load.report.map(|(_, at)| LoadSummary {
            requests_count,
            work_ratio,
            // Conversion from float to integer saturates.
            age_ms: age_ms(at, now) as u64,
        });
    }
    gateway.load_spread_ratio = spread_ratio(gateway);
}

/// Returns the occupancy of the busiest target over the mean of its service, averaged over the
/// services with at least two targets whose occupancy is known.
fn spread_ratio(gateway: &Gateway) -> Option<f64> {
    let spreads = gateway.catalog.services.values().filter_map(|service| {
        let loads = service.targets.iter().filter_map(|&target| {
            let load = &gateway.health.get(target)?.load;
            (load.reports_count >= SPREAD_REPORTS_MIN_COUNT).then_some(load.occupancy_ratio)
        });
        let (count, sum, max) = loads.fold((0.0, 0.0, 0.0), |(count, sum, max), ratio| {
            (count + 1.0, sum + ratio, f64::max(max, ratio))
        });
        (count >= 2.0 && sum > 0.0).then_some(max * count / sum)
    });
    let (count, sum) = spreads.fold((0.0, 0.0), |(count, sum), spread| {
        (count + 1.0, sum + spread)
    });
    (count > 0.0).then_some(sum / count)
}

fn age_ms(at: Instant, now: Instant) -> f64 {
    now.saturating_duration_since(at).as_secs_f64() * 1000.0
}
