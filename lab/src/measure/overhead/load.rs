//! Load of callers that each run point selects sequentially.

use std::time::{Duration, Instant};

use futures::future::try_join_all;
use hdrhistogram::Histogram;
use tokio_postgres::{Client, Statement};

use super::bench::Result;

/// Duration of one round.
const ROUND: Duration = Duration::from_millis(1_500);

/// Path from a caller to the database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AccessPath {
    /// Direct connection to the instance.
    Direct,
    /// Through a plain TCP relay.
    Relay,
    /// Through the VM that is home of the database.
    Home,
    /// Through a VM that forwards to the home.
    Forward,
}

impl AccessPath {
    pub(super) const ALL: [Self; 4] = [Self::Direct, Self::Relay, Self::Home, Self::Forward];
}

/// Throughput and latencies of one round.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Load {
    pub(super) per_s: f64,
    pub(super) p50_us: f64,
    pub(super) p99_us: f64,
}

/// A connected caller with its prepared statement.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) client: Client,
    pub(super) statement: Statement,
}

/// Runs statements on all callers concurrently for one round.
pub(super) async fn run(callers: &[Caller]) -> Result<Load> {
    let start = Instant::now();
    let histograms = try_join_all(
        callers
            .iter()
            .map(|caller| select_until(caller, start + ROUND)),
    )
    .await?;
    let elapsed = start.elapsed().as_secs_f64();
    let mut all = Histogram::<u64>::new(3).expect("three significant digits are valid");
    for histogram in histograms {
        all.add(histogram).expect("histograms resize automatically");
    }
    Ok(Load {
        per_s: all.len() as f64 / elapsed,
        p50_us: all.value_at_quantile(0.5) as f64 / 1_000.0,
        p99_us: all.value_at_quantile(0.99) as f64 / 1_000.0,
    })
}

async fn select_until(caller: &Caller, end: Instant) -> Result<Histogram<u64>> {
    let mut histogram = Histogram::<u64>::new(3).expect("three significant digits are valid");
    while Instant::now() < end {
        let start = Instant::now();
        caller
            .client
            .query_one(&caller.statement, &[&2_i64])
            .await?;
        histogram
            .record(start.elapsed().as_nanos() as u64)
            .expect("histograms resize automatically");
    }
    Ok(histogram)
}

/// Returns the median of each figure over all rounds.
pub(super) fn median(loads: &[Load]) -> Load {
    let middle = |pick: fn(&Load) -> f64| {
        let mut values: Vec<_> = loads.iter().map(pick).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    Load {
        per_s: middle(|load| load.per_s),
        p50_us: middle(|load| load.p50_us),
        p99_us: middle(|load| load.p99_us),
    }
}
