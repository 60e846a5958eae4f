//! Metrics of one process, among them the four that the users measure.

use std::sync::OnceLock;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use strum::Display;

use crate::configuration::RouteClass;
use crate::name::{DatabaseName, WorkspaceName};
use crate::traffic::RefusalReason;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0,
];

/// Which kind of instance served a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ServedBy {
    /// The primary.
    Primary,
    /// A replica.
    Replica,
}

/// Instruments of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    reads: Counter<u64>,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    refusals_within_rate: Counter<u64>,
    request_seconds: Histogram<f64>,
    failover_gap_seconds: Histogram<f64>,
    gate_seconds: Histogram<f64>,
}

/// Returns the instruments of this process.
pub fn metrics() -> &'static Metrics {
    static METRICS: OnceLock<Metrics> = OnceLock::new();
    METRICS.get_or_init(Metrics::new)
}

/// Returns all metrics in Prometheus text form.
pub fn render() -> String {
    let mut text = Vec::new();
    let families = metrics().registry.gather();
    if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
        log::warn!("event=metrics_failed error=\"{error}\"");
    }
    String::from_utf8(text).unwrap_or_default()
}

impl Metrics {
    fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let exporter = exporter.expect("a new registry has no instrument of the same name");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("currantlb");
        Self {
            registry,
            reads: counter(&meter, "currantlb.reads", "Reads, by the kind of instance"),
            requests: counter(
                &meter,
                "currantlb.requests",
                "Requests answered, by workspace",
            ),
            refusals: counter(&meter, "currantlb.refusals", "Requests refused, by reason"),
            refusals_within_rate: counter(
                &meter,
                "currantlb.refusals_within_rate",
                "Requests refused although their workspace was within its rate",
            ),
            request_seconds: histogram(
                &meter,
                "currantlb.request_duration",
                "Time from a request to its whole answer, by workspace and class",
            ),
            failover_gap_seconds: histogram(
                &meter,
                "currantlb.failover_gap",
                "Time from the last save acknowledged under a term to the first under the next",
            ),
            gate_seconds: histogram(
                &meter,
                "currantlb.gate_duration",
                "Time that answers of saves waited for a second instance",
            ),
            _provider: provider,
        }
    }

    /// Counts a read.
    pub fn count_read(&self, database: &DatabaseName, served_by: ServedBy) {
        let labels = [
            KeyValue::new("database", database.to_string()),
            KeyValue::new("served_by", served_by.to_string()),
        ];
        self.reads.add(1, &labels);
    }

    /// Counts a request that was answered after `took`.
    pub fn count_request(&self, workspace: &WorkspaceName, class: RouteClass, took: Duration) {
        let labels = [
            KeyValue::new("workspace", workspace.to_string()),
            KeyValue::new("class", class.to_string()),
        ];
        self.requests.add(1, &labels);
        self.request_seconds.record(took.as_secs_f64(), &labels);
    }

    /// Counts a request that was refused.
    pub fn count_refusal(
        &self,
        workspace: &WorkspaceName,
        reason: RefusalReason,
        was_within_rate: bool,
    ) {
        let labels = [
            KeyValue::new("workspace", workspace.to_string()),
            KeyValue::new("reason", reason.to_string()),
        ];
        self.refusals.add(1, &labels);
        if was_within_rate {
            self.refusals_within_rate.add(1, &labels);
        }
    }

    /// Records the gap of a failover.
    pub fn record_failover_gap(&self, database: &DatabaseName, gap: Duration) {
        let labels = [KeyValue::new("database", database.to_string())];
        self.failover_gap_seconds.record(gap.as_secs_f64(), &labels);
    }

    /// Records the time that the answer of a save waited.
    pub fn record_gate(&self, database: &DatabaseName, waited: Duration) {
        let labels = [KeyValue::new("database", database.to_string())];
        self.gate_seconds.record(waited.as_secs_f64(), &labels);
    }
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

fn histogram(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_unit("s")
        .with_boundaries(LATENCY_BOUNDS_S.to_vec())
        .build()
}

#[cfg(test)]
mod tests;
