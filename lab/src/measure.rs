//! Measurements: figures with their baselines and targets.

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

/// Error from running a measurement.
#[derive(Debug, Snafu)]
pub enum MeasureError {
    /// The measurement does not exist.
    #[snafu(display("there is no measurement {name}; use one of: {}", names().join(", ")))]
    Unknown {
        /// Requested name.
        name: String,
    },
    /// The measurement failed.
    #[snafu(display("the measurement {name} could not be run: {reason}"))]
    Failed {
        /// Name of the measurement.
        name: &'static str,
        /// Description of the failure.
        reason: String,
    },
}

/// A measurement that can be run by name.
#[derive(Clone, Copy)]
pub struct Measurement {
    /// Name on the command line.
    pub name: &'static str,
    /// Short description of what it measures.
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

/// All measurements, in the order in which `all` runs them.
pub const MEASUREMENTS: &[Measurement] = &[
    Measurement {
        name: "overhead",
        about: "overhead of a VM per statement, compared with a plain TCP relay",
        run: || Box::pin(overhead::run()),
    },
    Measurement {
        name: "control-slopes",
        about: "cost of the control code per VM as databases, VMs and homes grow in number",
        run: || Box::pin(control_slopes::run()),
    },
    Measurement {
        name: "failover-gap",
        about: "how long saves are interrupted when a primary fails, and whether any is lost",
        run: || Box::pin(failover_gap::run()),
    },
];

/// Returns the names of all measurements.
pub fn names() -> Vec<&'static str> {
    MEASUREMENTS
        .iter()
        .map(|measurement| measurement.name)
        .collect()
}

/// Runs the measurement of a name, or all of them if the name is `all`.
///
/// # Errors
///
/// Fails when there is no measurement of that name, or a measurement fails.
pub async fn run(name: &str) -> Result<Vec<Report>> {
    let selected: Vec<_> = MEASUREMENTS
        .iter()
        .filter(|measurement| name == "all" || measurement.name == name)
        .collect();
    if selected.is_empty() {
        return UnknownSnafu { name }.fail();
    }
    let mut reports = Vec::new();
    for measurement in selected {
        reports.push((measurement.run)().await?);
    }
    Ok(reports)
}
