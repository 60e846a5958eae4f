//! Metrics of the limits over all VMs.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

use super::metrics::{counter, histogram};
use crate::entry::quota::Counts;

/// Instruments of the limits over all VMs.
#[derive(Debug)]
pub struct LimitMetrics {
    tokens: Counter<u64>,
    owners: Counter<u64>,
    fallbacks: Counter<u64>,
    wait_seconds: Histogram<f64>,
    owned: Gauge<u64>,
    waiting: Gauge<u64>,
}

impl LimitMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        Self {
            tokens: counter(
                meter,
                "currantlb.entry.tokens",
                "Tokens of limits requested from, granted to and borrowed from other gateways",
            ),
            owners: counter(
                meter,
                "currantlb.entry.limit_owners",
                "Workspaces whose owner this VM became, or ceased to be",
            ),
            fallbacks: counter(
                meter,
                "currantlb.entry.limit_fallbacks",
                "Workspaces whose fallback share came into use",
            ),
            wait_seconds: histogram(
                meter,
                "currantlb.entry.token_wait",
                "Time that a request waited for a token",
            ),
            owned: meter
                .u64_gauge("currantlb.entry.limits_owned")
                .with_description("Workspaces whose limits this VM owns")
                .build(),
            waiting: meter
                .u64_gauge("currantlb.entry.token_waiting")
                .with_description("Requests waiting for a token")
                .build(),
        }
    }

    /// Counts tokens and changes of owners, and sets the number of workspaces owned and of requests
    /// waiting for a token.
    pub fn record(&self, counts: &Counts, owned: usize, waiting: usize) {
        let kinds = [
            (&self.tokens, "requested", counts.tokens_requested),
            (&self.tokens, "granted", counts.tokens_granted),
            (&self.tokens, "borrowed", counts.tokens_borrowed),
            (&self.owners, "inherited", counts.inherited as u64),
            (&self.owners, "started", counts.started as u64),
            (&self.owners, "handed_over", counts.handed_over as u64),
        ];
        for (counter, kind, count) in kinds {
            counter.add(count, &[KeyValue::new("kind", kind)]);
        }
        self.fallbacks.add(counts.fallbacks_started as u64, &[]);
        self.owned.record(owned as u64, &[]);
        self.waiting.record(waiting as u64, &[]);
    }

    /// Records how long a request waited for a token.
    pub fn record_wait(&self, waited: Duration) {
        self.wait_seconds.record(waited.as_secs_f64(), &[]);
    }
}
