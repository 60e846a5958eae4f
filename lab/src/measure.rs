//! Measurements: each figure beside its baseline and its stated target.

pub mod control_slopes;
pub mod failover_gap;
mod fit;
pub mod overhead;
pub mod report;

use futures::future::BoxFuture;
use snafu::Snafu;

pub use fit::LinearFit;
pub use report::{Figure, Report, Target};

/// Result of a measurement.
pub type Result<T, E = MeasureError> = std::result::Result<T, E>;

/// Why a measurement gave no figures.
#[derive(Debug, Snafu)]
pub enum MeasureError {
    /// There is no such measurement.
    #[snafu(display("there is no measurement {name}; use one of: {}", names().join(", ")))]
    Unknown {
        /// What was asked for.
        name: String,
    },
    /// The measurement could not be run.
    #[snafu(display("the measurement {name} could not be run: {reason}"))]
    Failed {
        /// Which measurement.
        name: &'static str,
        /// What went wrong.
        reason: String,
    },
}

/// One measurement that can be asked for by name.
#[derive(Clone, Copy)]
pub struct Measurement {
    /// Name on the command line.
    pub name: &'static str,
    /// What it measures.
    pub about: &'static str,
    run: fn() -> BoxFuture<'static, Result<Report>>,
}

impl std::fmt::Debug for Measurement {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Measurement")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// Every measurement, in the order in which `all` runs them.
pub const MEASUREMENTS: &[Measurement] = &[
    Measurement {
        name: "overhead",
        about: "what a VM adds to a statement, beside a plain relay",
        run: || Box::pin(overhead::run()),
    },
    Measurement {
        name: "control-slopes",
        about: "what control costs a VM as databases, peers and changes grow in number",
        run: || Box::pin(control_slopes::run()),
    },
    Measurement {
        name: "failover-gap",
        about: "how long saves stop when a primary fails, and what becomes of them",
        run: || Box::pin(failover_gap::run()),
    },
];

/// Returns the names of the measurements.
pub fn names() -> Vec<&'static str> {
    MEASUREMENTS
        .iter()
        .map(|measurement| measurement.name)
        .collect()
}

/// Runs one measurement, or every one for the name `all`.
///
/// # Errors
///
/// Fails when there is no measurement of that name, or one could not be run.
pub async fn run(name: &str) -> Result<Vec<Report>> {
    let wanted: Vec<_> = MEASUREMENTS
        .iter()
        .filter(|measurement| name == "all" || measurement.name == name)
        .collect();
    if wanted.is_empty() {
        return UnknownSnafu { name }.fail();
    }
    let mut reports = Vec::new();
    for measurement in wanted {
        reports.push((measurement.run)().await?);
    }
    Ok(reports)
}
