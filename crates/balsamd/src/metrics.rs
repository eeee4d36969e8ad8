//! Counters and status of the reducer as OpenTelemetry metrics in Prometheus text.

use std::{collections::BTreeMap, time::Duration};

use model::{Counter, Timing, to_word};
use opentelemetry::metrics::{Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use tier::Status;

use crate::error::StartError;

/// Upper bounds of the histograms' buckets, in milliseconds; doubling, from a reply in the same zone
/// to the longest time limit.
const TIME_BOUNDS_MS: [f64; 13] = [
    2.0, 5.0, 10.0, 20.0, 40.0, 60.0, 80.0, 150.0, 200.0, 400.0, 800.0, 1_600.0, 5_000.0,
];

/// The metrics of the process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    // The exporter stops when its provider is dropped.
    _provider: SdkMeterProvider,
    counters: BTreeMap<Counter, opentelemetry::metrics::Counter<u64>>,
    histograms: BTreeMap<Timing, Histogram<u64>>,
}

/// Creates the registry that the operators' port exports.
///
/// # Errors
///
/// Returns an error if the exporter cannot be registered.
pub fn open() -> Result<Metrics, StartError> {
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

/// Takes one value out of a status.
type ReadStatus = fn(&Status) -> u64;

/// What the status of an instance shows as gauges.
#[derive(Clone, Debug)]
pub struct Gauges {
    gauges: Vec<(Gauge<u64>, ReadStatus)>,
}

/// Age that is shown if nobody has confirmed the revision.
const NEVER_CONFIRMED_MS: u64 = u64::MAX;

/// Creates the gauges, which [`set_gauges`] sets whenever the metrics are read.
pub fn open_gauges(metrics: &Metrics) -> Gauges {
    let values: [(&str, ReadStatus); 10] = [
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
    ];
    let gauges = values.map(|(name, value)| {
        let name = format!("balsamd_{name}");
        (metrics.meter.u64_gauge(name).build(), value)
    });
    Gauges {
        gauges: gauges.into(),
    }
}

/// Sets the gauges to what a status says.
pub fn set_gauges(gauges: &Gauges, status: &Status) {
    for (gauge, value) in &gauges.gauges {
        gauge.record(value(status), &[]);
    }
}

/// Adds to a counter.
pub fn add(metrics: &mut Metrics, counter: Counter, amount_count: u64) {
    let meter = &metrics.meter;
    let instrument = metrics.counters.entry(counter).or_insert_with(|| {
        meter
            .u64_counter(format!("balsamd_{}", name(counter)))
            .build()
    });
    instrument.add(amount_count, &[]);
}

/// Adds a time to a histogram.
pub fn record(metrics: &mut Metrics, timing: Timing, took: Duration) {
    let meter = &metrics.meter;
    let histogram = metrics.histograms.entry(timing).or_insert_with(|| {
        let name = to_word(&timing).replace('-', "_");
        meter
            .u64_histogram(format!("balsamd_{name}_ms"))
            .with_boundaries(TIME_BOUNDS_MS.to_vec())
            .build()
    });
    histogram.record(u64::try_from(took.as_millis()).unwrap_or(u64::MAX), &[]);
}

/// Returns all metrics in Prometheus text.
///
/// # Errors
///
/// Returns an error if a metric cannot be written.
pub fn export(registry: &Registry) -> Result<String, prometheus::Error> {
    TextEncoder::new().encode_to_string(&registry.gather())
}

/// Returns the registry for the operators' port.
pub fn registry(metrics: &Metrics) -> Registry {
    metrics.registry.clone()
}

/// Returns the name of a counter in snake case.
fn name(counter: Counter) -> String {
    to_word(&counter).replace('-', "_")
}
