//! Metrics of one process, including the four that the users track: reads, requests, refusals
//! within the rate, and the gap of a failover.

use std::sync::OnceLock;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use strum::Display;

use super::limit_metrics::LimitMetrics;
use crate::configuration::RouteClass;
use crate::name::{DatabaseName, InstanceName, RouteName, WorkspaceName};
use crate::traffic::RefusalReason;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0,
];

/// Kind of instance that served a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ServedBy {
    /// The primary.
    Primary,
    /// A replica.
    Replica,
}

/// OpenTelemetry instruments of one process, and the registry that they are exported from.
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
    entry: EntryMetrics,
    limits: LimitMetrics,
    protection: ProtectionMetrics,
}

/// Instruments of an entry, which serves the callers connected to this VM.
#[derive(Debug)]
struct EntryMetrics {
    statements: Counter<u64>,
    statement_seconds: Histogram<f64>,
    refusals: Counter<u64>,
    moves: Counter<u64>,
    retries_denied: Counter<u64>,
    store_calls: Counter<u64>,
    store_timelines: Counter<u64>,
    takeovers: Counter<u64>,
    placement: PlacementMetrics,
    sessions: Gauge<u64>,
    connections: Gauge<u64>,
}

/// Instruments of what protects a VM from its peers, from its own load and from errors.
#[derive(Debug)]
struct ProtectionMetrics {
    task_failures: Counter<u64>,
    closed_connections: Counter<u64>,
    pending_input_bytes: Gauge<u64>,
    declined_tasks: Counter<u64>,
    loop_delay_seconds: Gauge<f64>,
}

/// Instruments of the choice of instances and of the connections to them.
#[derive(Debug)]
struct PlacementMetrics {
    connections_opened: Counter<u64>,
    ejections: Counter<u64>,
    lag_wait_seconds: Histogram<f64>,
    replica_lag_seconds: Gauge<f64>,
}

/// Why a connection to an instance is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum OpenReason {
    /// None of the workspace's connections is idle, and there is room for another one.
    NoneIdle,
    /// None of the workspace's connections is idle; that of another workspace was closed.
    Replaced,
    /// A control command needs a connection.
    Control,
}

/// Phase of the execution of a statement at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// Waiting for a slot of the instance.
    Wait,
    /// Choosing an instance and getting a connection to it.
    Connect,
    /// Executing the statement on the instance.
    Run,
}

/// Returns the instruments of this process, which the first call creates.
pub fn metrics() -> &'static Metrics {
    static METRICS: OnceLock<Metrics> = OnceLock::new();
    METRICS.get_or_init(Metrics::new)
}

/// Returns all metrics in the Prometheus text format.
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
            entry: EntryMetrics::new(&meter),
            limits: LimitMetrics::new(&meter),
            protection: ProtectionMetrics::new(&meter),
            _provider: provider,
        }
    }

    /// Counts a read by the kind of instance that served it.
    pub fn count_read(&self, database: &DatabaseName, served_by: ServedBy) {
        let labels = [
            KeyValue::new("database", database.to_string()),
            KeyValue::new("served_by", served_by.to_string()),
        ];
        self.reads.add(1, &labels);
    }

    /// Counts an answered request and records its latency.
    pub fn count_request(&self, workspace: &WorkspaceName, class: RouteClass, latency: Duration) {
        let labels = [
            KeyValue::new("workspace", workspace.to_string()),
            KeyValue::new("class", class.to_string()),
        ];
        self.requests.add(1, &labels);
        self.request_seconds.record(latency.as_secs_f64(), &labels);
    }

    /// Counts a refused request, also separately if its workspace was within its rate.
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

    /// Records the time from the last save acknowledged under a term to the first under the next.
    pub fn record_failover_gap(&self, database: &DatabaseName, gap: Duration) {
        let labels = [KeyValue::new("database", database.to_string())];
        self.failover_gap_seconds.record(gap.as_secs_f64(), &labels);
    }

    /// Counts a statement of an entry by its outcome.
    pub fn count_statement(&self, route: &RouteName, outcome: &'static str) {
        let labels = [
            KeyValue::new("route", route.to_string()),
            KeyValue::new("outcome", outcome),
        ];
        self.entry.statements.add(1, &labels);
    }

    /// Records the duration of one step of an entry's statement.
    pub fn record_step(&self, route: &RouteName, step: Step, duration: Duration) {
        let labels = [
            KeyValue::new("route", route.to_string()),
            KeyValue::new("step", step.to_string()),
        ];
        self.entry
            .statement_seconds
            .record(duration.as_secs_f64(), &labels);
    }

    /// Counts a statement that an entry refused, by reason.
    pub fn count_entry_refusal(&self, route: &RouteName, reason: &str) {
        let labels = [
            KeyValue::new("route", route.to_string()),
            KeyValue::new("reason", reason.to_owned()),
        ];
        self.entry.refusals.add(1, &labels);
    }

    /// Counts a statement that an entry retried on another instance or gateway, by reason.
    pub fn count_retry(&self, reason: &'static str) {
        self.entry.moves.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a retry that an entry denied, by what it was for and what denied it.
    pub fn count_retry_denied(&self, reason: &'static str, denied_by: &'static str) {
        let labels = [
            KeyValue::new("reason", reason),
            KeyValue::new("denied_by", denied_by),
        ];
        self.entry.retries_denied.add(1, &labels);
    }

    /// Counts a call to the store, and whether the store responded.
    pub fn count_store_call(&self, kind: &'static str, answered: bool) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("answered", answered),
        ];
        self.entry.store_calls.add(1, &labels);
    }

    /// Counts a timeline of the store that this VM has seen for the first time.
    pub fn count_store_timeline(&self) {
        self.entry.store_timelines.add(1, &[]);
    }

    /// Counts an attempt of this VM to replace a primary, and whether it was completed.
    pub fn count_takeover(&self, reason: String, done: bool) {
        let labels = [KeyValue::new("reason", reason), KeyValue::new("done", done)];
        self.entry.takeovers.add(1, &labels);
    }

    /// Counts a panic of a background task, which is then started anew.
    pub fn count_task_failure(&self, task: &'static str) {
        let labels = [KeyValue::new("task", task)];
        self.protection.task_failures.add(1, &labels);
    }

    /// Counts a connection that was closed because it cost too much, by the bound it exceeded.
    pub fn count_closed_connection(&self, cause: &'static str) {
        let labels = [KeyValue::new("cause", cause)];
        self.protection.closed_connections.add(1, &labels);
    }

    /// Sets the bytes of incomplete messages that callers and other VMs have sent.
    pub fn set_pending_input(&self, bytes: usize) {
        self.protection
            .pending_input_bytes
            .record(bytes as u64, &[]);
    }

    /// Counts a task of another VM that this VM declined, by reason.
    pub fn count_declined_task(&self, reason: &'static str) {
        let labels = [KeyValue::new("reason", reason)];
        self.protection.declined_tasks.add(1, &labels);
    }

    /// Sets the average delay of the event loop.
    pub fn set_loop_delay(&self, delay: Duration) {
        self.protection
            .loop_delay_seconds
            .record(delay.as_secs_f64(), &[]);
    }

    /// Returns the instruments of the limits over all VMs.
    pub const fn limits(&self) -> &LimitMetrics {
        &self.limits
    }

    /// Counts a connection to an instance that an entry opens.
    pub fn count_connection_opened(&self, reason: OpenReason) {
        let labels = [KeyValue::new("reason", reason.to_string())];
        self.entry.placement.connections_opened.add(1, &labels);
    }

    /// Counts an instance that an entry ejects from reads, by symptom.
    pub fn count_ejection(&self, database: &DatabaseName, symptom: String) {
        let labels = [
            KeyValue::new("database", database.to_string()),
            KeyValue::new("symptom", symptom),
        ];
        self.entry.placement.ejections.add(1, &labels);
    }

    /// Records how long a read waits until a replica is expected to have reached its position.
    pub fn record_lag_wait(&self, route: &RouteName, wait: Duration) {
        let labels = [KeyValue::new("route", route.to_string())];
        self.entry
            .placement
            .lag_wait_seconds
            .record(wait.as_secs_f64(), &labels);
    }

    /// Sets the estimated lag of a replica.
    pub fn set_replica_lag(&self, instance: &InstanceName, lag: Duration) {
        let labels = [KeyValue::new("instance", instance.to_string())];
        self.entry
            .placement
            .replica_lag_seconds
            .record(lag.as_secs_f64(), &labels);
    }

    /// Sets the number of connected callers and of open connections to instances.
    pub fn set_open_counts(&self, sessions: usize, connections: usize) {
        self.entry.sessions.record(sessions as u64, &[]);
        self.entry.connections.record(connections as u64, &[]);
    }

    /// Records how long the response to a save waited for a second instance.
    pub fn record_gate(&self, database: &DatabaseName, waited: Duration) {
        let labels = [KeyValue::new("database", database.to_string())];
        self.gate_seconds.record(waited.as_secs_f64(), &labels);
    }
}

impl EntryMetrics {
    fn new(meter: &Meter) -> Self {
        Self {
            statements: counter(
                meter,
                "currantlb.entry.statements",
                "Statements answered by an entry, by route and outcome",
            ),
            statement_seconds: histogram(
                meter,
                "currantlb.entry.statement_duration",
                "Time that a step of a statement took, by route",
            ),
            refusals: counter(
                meter,
                "currantlb.entry.refusals",
                "Statements refused by an entry, by route and reason",
            ),
            moves: counter(
                meter,
                "currantlb.entry.moves",
                "Statements offered to another instance, by reason",
            ),
            retries_denied: counter(
                meter,
                "currantlb.entry.retries_denied",
                "Retries that the budget or the attempts of a statement denied, by reason",
            ),
            store_calls: counter(
                meter,
                "currantlb.entry.store_calls",
                "Calls to the store, by kind",
            ),
            store_timelines: counter(
                meter,
                "currantlb.entry.store_timelines",
                "Timelines of the store seen: one at the start, one more for each restoration",
            ),
            takeovers: counter(
                meter,
                "currantlb.entry.takeovers",
                "Replacements of primaries by this VM, by reason",
            ),
            placement: PlacementMetrics::new(meter),
            sessions: meter
                .u64_gauge("currantlb.entry.sessions")
                .with_description("Callers connected")
                .build(),
            connections: meter
                .u64_gauge("currantlb.entry.connections")
                .with_description("Connections to instances")
                .build(),
        }
    }
}

impl ProtectionMetrics {
    fn new(meter: &Meter) -> Self {
        Self {
            task_failures: counter(
                meter,
                "currantlb.entry.task_failures",
                "Background tasks that panicked and were started anew, by task",
            ),
            closed_connections: counter(
                meter,
                "currantlb.entry.closed_connections",
                "Connections closed because they cost too much, by cause",
            ),
            pending_input_bytes: meter
                .u64_gauge("currantlb.entry.pending_input_bytes")
                .with_description("Bytes of incomplete messages of callers and other VMs")
                .build(),
            declined_tasks: counter(
                meter,
                "currantlb.entry.declined_tasks",
                "Tasks of other VMs that this VM declined, by reason",
            ),
            loop_delay_seconds: meter
                .f64_gauge("currantlb.entry.loop_delay")
                .with_description("Average delay of the event loop")
                .with_unit("s")
                .build(),
        }
    }
}

impl PlacementMetrics {
    fn new(meter: &Meter) -> Self {
        Self {
            connections_opened: counter(
                meter,
                "currantlb.entry.connections_opened",
                "Connections to instances opened, by reason",
            ),
            ejections: counter(
                meter,
                "currantlb.entry.ejections",
                "Ejections of instances from reads, by database and symptom",
            ),
            lag_wait_seconds: histogram(
                meter,
                "currantlb.entry.lag_wait",
                "Time that a read waits for a replica to reach its position, by route",
            ),
            replica_lag_seconds: meter
                .f64_gauge("currantlb.entry.replica_lag")
                .with_description("Estimated lag of a replica")
                .with_unit("s")
                .build(),
        }
    }
}

pub(super) fn counter(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

pub(super) fn histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_unit("s")
        .with_boundaries(LATENCY_BOUNDS_S.to_vec())
        .build()
}

#[cfg(test)]
mod tests;
