//! Counters, timings and status as OpenTelemetry metrics, exported in the Prometheus text format.

use std::{collections::BTreeMap, time::Duration};

use model::{Counter, Timing, variant_name};
use opentelemetry::metrics::{Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use tier::Status;

use crate::error::StartError;

/// Upper bounds of the histogram buckets, in milliseconds: roughly doubling, from a reply within
/// the availability zone to the longest time limit.
const TIME_BOUNDS_MS: [f64; 13] = [
    2.0, 5.0, 10.0, 20.0, 40.0, 60.0, 80.0, 150.0, 200.0, 400.0, 800.0, 1_600.0, 5_000.0,
];

/// Metric instruments of the process; counters and histograms are created at first use.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    // Dropping the provider stops the exporter.
    _provider: SdkMeterProvider,
    counters: BTreeMap<Counter, opentelemetry::metrics::Counter<u64>>,
    histograms: BTreeMap<Timing, Histogram<u64>>,
}

/// Creates the metrics with a registry and its exporter.
///
/// # Errors
///
/// Returns an error if the exporter cannot be registered.
pub fn create() -> Result<Metrics, StartError> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .build()
        .map_err(|error| StartError::Metrics(error.to_string()))?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    let meter = provider.meter("balsamd");
    Ok(Metrics {
        registry,
        meter,
        _provider: provider,
        counters: BTreeMap::new(),
        histograms: BTreeMap::new(),
    })
}

/// Reads the value of one gauge from a status.
type ReadStatus = fn(&Status) -> u64;

/// Gauges, each with the function that reads its value from the status.
#[derive(Clone, Debug)]
pub struct Gauges {
    gauges: Vec<(Gauge<u64>, ReadStatus)>,
}

/// Value of `balsamd_confirmed_ms` while the revision has not been confirmed.
const NEVER_CONFIRMED_MS: u64 = u64::MAX;

/// Creates the gauges; [`set_gauges`] updates them at each scrape.
pub fn create_gauges(metrics: &Metrics) -> Gauges {
    let values: [(&str, ReadStatus); 11] = [
        ("revision", |status| status.revision),
        ("confirmed_ms", |status| {
            status.confirmed_ms.unwrap_or(NEVER_CONFIRMED_MS)
        }),
        ("ready", |status| u64::from(status.is_ready)),
        ("leaving", |status| u64::from(status.is_leaving)),
        ("queries_running", |status| status.running_count),
        ("queries_waiting", |status| status.waiting_count),
        ("calls_in_flight", |status| status.calls_count),
        ("members", |status| status.members_count),
        ("targets", |status| status.targets_count),
        ("targets_unreachable", |status| {
            status.unreachable_targets_count
        }),
        ("load_spread_percent", |status| {
            status.load_spread_percent.unwrap_or(0)
        }),
    ];
    let gauges = values.map(|(name, value)| {
        let name = format!("balsamd_{name}");
        (metrics.meter.u64_gauge(name).build(), value)
    });
    Gauges {
        gauges: gauges.into(),
    }
}

/// Sets the gauges from a status.
pub fn set_gauges(gauges: &Gauges, status: &Status) {
    for (gauge, value) in &gauges.gauges {
        gauge.record(value(status), &[]);
    }
}

/// Adds an amount to a counter.
pub fn add(metrics: &mut Metrics, counter: Counter, amount_count: u64) {
    let meter = &metrics.meter;
    let instrument = metrics.counters.entry(counter).or_insert_with(|| {
        meter
            .u64_counter(format!("balsamd_{}", counter_name(counter)))
            .build()
    });
    instrument.add(amount_count, &[]);
}

/// Records a duration in the histogram of its timing, in whole milliseconds.
pub fn record(metrics: &mut Metrics, timing: Timing, took: Duration) {
    let meter = &metrics.meter;
    let histogram = metrics.histograms.entry(timing).or_insert_with(|| {
        let name = variant_name(&timing).replace('-', "_");
        meter
            .u64_histogram(format!("balsamd_{name}_ms"))
            .with_boundaries(TIME_BOUNDS_MS.to_vec())
            .build()
    });
    histogram.record(u64::try_from(took.as_millis()).unwrap_or(u64::MAX), &[]);
}

/// Returns all metrics in the Prometheus text format.
///
/// # Errors
///
/// Returns an error if a metric cannot be written.
pub fn export(registry: &Registry) -> Result<String, prometheus::Error> {
    TextEncoder::new().encode_to_string(&registry.gather())
}

/// Returns a handle to the registry, for [`export`].
pub fn registry(metrics: &Metrics) -> Registry {
    metrics.registry.clone()
}

/// Returns the name of a counter in snake case, without the prefix `balsamd_`.
fn counter_name(counter: Counter) -> String {
    variant_name(&counter).replace('-', "_")
}
