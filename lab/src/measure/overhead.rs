//! Overhead of a VM per statement, compared with a plain TCP relay and a direct connection.
//!
//! The VMs and the relay are separate processes; the stand-in database and the callers run in the
//! lab's process for every path that is compared.

mod bench;
mod load;
mod memory;

use super::report::build_profile;
use super::{Figure, MeasureError, Report, Result, Target};
use bench::Bench;
use load::{AccessPath, Load};

/// Number of concurrent callers for the throughput figures.
const CALLERS: usize = 64;

/// Number of rounds; each measures all paths in turn, so that background load affects all of them.
const ROUNDS: usize = 5;

/// Runs the measurement.
///
/// # Errors
///
/// Fails when the processes can't be started or a statement fails.
pub async fn run() -> Result<Report> {
    let failed = |reason: String| MeasureError::Failed {
        name: "overhead",
        reason,
    };
    let bench = Bench::start()
        .await
        .map_err(|error| failed(error.to_string()))?;
    let concurrent = compare(&bench, CALLERS)
        .await
        .map_err(|error| failed(error.to_string()))?;
    let single = compare(&bench, 1)
        .await
        .map_err(|error| failed(error.to_string()))?;
    let mut figures = throughput_figures(&concurrent);
    figures.extend(latency_figures(&single));
    figures.extend(
        memory::figures(&bench)
            .await
            .map_err(|error| failed(error.to_string()))?,
    );
    let setting = format!(
        "{}; {CALLERS} callers, median of {ROUNDS} rounds",
        build_profile()
    );
    Ok(Report {
        measurement: "overhead",
        setting,
        figures,
    })
}

/// Measures the median load of every path, in the order of [`AccessPath::ALL`].
async fn compare(bench: &Bench, callers: usize) -> bench::Result<[Load; AccessPath::ALL.len()]> {
    let mut rounds: [Vec<Load>; AccessPath::ALL.len()] = Default::default();
    let mut clients = Vec::new();
    for path in AccessPath::ALL {
        clients.push(bench.clients(path, callers).await?);
    }
    for _ in 0..ROUNDS {
        for (index, clients) in clients.iter().enumerate() {
            rounds[index].push(load::run(clients).await?);
        }
    }
    Ok(rounds.map(|loads| load::median(&loads)))
}

fn throughput_figures(loads: &[Load]) -> Vec<Figure> {
    let [direct, relay, home, forward] = [0, 1, 2, 3].map(|index| loads[index].per_s);
    vec![
        Figure::new("direct: point selects", direct, "1/s"),
        Figure::new("relay: point selects", relay, "1/s").with_baseline(direct),
        Figure::new("home: point selects", home, "1/s").with_baseline(relay),
        Figure::new("forward: point selects", forward, "1/s").with_baseline(relay),
        Figure::new(
            "home: share of the relay's throughput",
            home / relay,
            "ratio",
        )
        .with_baseline(1.0)
        .with_target(Target::AtLeast(0.6)),
        Figure::new(
            "forward: share of the relay's throughput",
            forward / relay,
            "ratio",
        )
        .with_baseline(1.0)
        .with_target(Target::AtLeast(0.35)),
    ]
}

fn latency_figures(loads: &[Load]) -> Vec<Figure> {
    let [direct, relay, home, forward] = [0, 1, 2, 3].map(|index| &loads[index]);
    let mut figures = vec![
        Figure::new("relay, 1 caller: p50", relay.p50_us, "us").with_baseline(direct.p50_us),
        Figure::new("relay, 1 caller: p99", relay.p99_us, "us").with_baseline(direct.p99_us),
    ];
    for (name, load) in [("home", home), ("forward", forward)] {
        figures.push(
            Figure::new(
                format!("{name}, 1 caller: p50 above the relay's"),
                load.p50_us - relay.p50_us,
                "us",
            )
            .with_baseline(relay.p50_us)
            .with_target(Target::AtMost(100.0)),
        );
        figures.push(
            Figure::new(
                format!("{name}, 1 caller: p99 above the relay's"),
                load.p99_us - relay.p99_us,
                "us",
            )
            .with_baseline(relay.p99_us)
            .with_target(Target::AtMost(500.0)),
        );
    }
    figures
}
