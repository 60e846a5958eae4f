//! What a proxy adds to a statement, beside a plain TCP relay and a direct connection.
//!
//! The VMs and the relay are processes of their own; the stand-in database and the callers share
//! the lab's process, the same for every way that is compared.

mod bench;
mod load;
mod memory;

use super::report::build_profile;
use super::{Figure, MeasureError, Report, Result, Target};
use bench::Bench;
use load::{Load, Way};

/// Callers of the throughput figures.
const CALLERS: usize = 64;

/// Rounds in which the ways take turns, so that a busy moment hits all of them.
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
    let busy = compare(&bench, CALLERS)
        .await
        .map_err(|error| failed(error.to_string()))?;
    let alone = compare(&bench, 1)
        .await
        .map_err(|error| failed(error.to_string()))?;
    let mut figures = throughput_figures(&busy);
    figures.extend(latency_figures(&alone));
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

/// Loads of every way, in the order of [`Way::ALL`].
async fn compare(bench: &Bench, callers: usize) -> bench::Result<[Load; Way::ALL.len()]> {
    let mut rounds: [Vec<Load>; Way::ALL.len()] = Default::default();
    let mut clients = Vec::new();
    for way in Way::ALL {
        clients.push(bench.clients(way, callers).await?);
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
        Figure::new("relay: point selects", relay, "1/s").beside(direct),
        Figure::new("home: point selects", home, "1/s").beside(relay),
        Figure::new("forward: point selects", forward, "1/s").beside(relay),
        Figure::new(
            "home: share of the relay's throughput",
            home / relay,
            "ratio",
        )
        .beside(1.0)
        .reaching(Target::AtLeast(0.6)),
        Figure::new(
            "forward: share of the relay's throughput",
            forward / relay,
            "ratio",
        )
        .beside(1.0)
        .reaching(Target::AtLeast(0.35)),
    ]
}

fn latency_figures(loads: &[Load]) -> Vec<Figure> {
    let [direct, relay, home, forward] = [0, 1, 2, 3].map(|index| &loads[index]);
    let mut figures = vec![
        Figure::new("relay, 1 caller: p50", relay.p50_us, "us").beside(direct.p50_us),
        Figure::new("relay, 1 caller: p99", relay.p99_us, "us").beside(direct.p99_us),
    ];
    for (name, load) in [("home", home), ("forward", forward)] {
        figures.push(
            Figure::new(
                format!("{name}, 1 caller: p50 above the relay's"),
                load.p50_us - relay.p50_us,
                "us",
            )
            .beside(relay.p50_us)
            .reaching(Target::AtMost(100.0)),
        );
        figures.push(
            Figure::new(
                format!("{name}, 1 caller: p99 above the relay's"),
                load.p99_us - relay.p99_us,
                "us",
            )
            .beside(relay.p99_us)
            .reaching(Target::AtMost(500.0)),
        );
    }
    figures
}
