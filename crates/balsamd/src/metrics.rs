//! Counters of the reducer as OpenTelemetry metrics in Prometheus text.

use std::collections::BTreeMap;

use model::{Counter, to_word};
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::error::StartError;

/// The metrics of the process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    // The exporter stops when its provider is dropped.
    _provider: SdkMeterProvider,
    counters: BTreeMap<Counter, opentelemetry::metrics::Counter<u64>>,
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
    })
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
