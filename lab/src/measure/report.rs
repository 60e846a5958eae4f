//! Figures of a measurement, formatted as a table or serialised as JSON.

use std::fmt;

use serde::Serialize;

/// Target of a figure.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The figure must not exceed this value.
    AtMost(f64),
    /// The figure must not be below this value.
    AtLeast(f64),
}

impl Target {
    /// Returns whether a value meets the target.
    pub fn is_met(self, value: f64) -> bool {
        match self {
            Self::AtMost(limit) => value <= limit,
            Self::AtLeast(limit) => value >= limit,
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(limit) => write!(f, "<= {}", number(*limit)),
            Self::AtLeast(limit) => write!(f, ">= {}", number(*limit)),
        }
    }
}

/// A measured figure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// Description of what was measured.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value, empty for a count.
    pub unit: &'static str,
    /// Value of the baseline that the figure is compared with, from the same run.
    pub baseline: Option<f64>,
    /// Target that the value must meet.
    pub target: Option<Target>,
}

impl Figure {
    /// Creates a figure without a baseline or target.
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
            baseline: None,
            target: None,
        }
    }

    /// Sets the baseline.
    #[must_use]
    pub fn with_baseline(self, baseline: f64) -> Self {
        Self {
            baseline: Some(baseline),
            ..self
        }
    }

    /// Sets the target.
    #[must_use]
    pub fn with_target(self, target: Target) -> Self {
        Self {
            target: Some(target),
            ..self
        }
    }

    /// Returns whether the target is met; true when there is no target.
    pub fn is_met(&self) -> bool {
        self.target.is_none_or(|target| target.is_met(self.value))
    }
}

/// Figures of one measurement.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the measurement.
    pub measurement: &'static str,
    /// Conditions of the run: build profile, sizes, durations.
    pub setting: String,
    /// Figures in the order in which they are printed.
    pub figures: Vec<Figure>,
}

impl Report {
    /// Returns whether all targets are met.
    pub fn is_met(&self) -> bool {
        self.figures.iter().all(Figure::is_met)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} ({})", self.measurement, self.setting)?;
        writeln!(
            f,
            "{:<58} {:>12} {:>12} {:>12}  {:<14} met",
            "figure", "value", "baseline", "target", "unit"
        )?;
        for figure in &self.figures {
            let baseline = figure.baseline.map_or_else(|| "-".to_owned(), number);
            let target = figure
                .target
                .map_or_else(|| "-".to_owned(), |target| target.to_string());
            let met = match figure.target {
                None => "",
                Some(_) if figure.is_met() => "yes",
                Some(_) => "NO",
            };
            let Figure {
                name, value, unit, ..
            } = figure;
            writeln!(
                f,
                "{name:<58} {:>12} {baseline:>12} {target:>12}  {unit:<14} {met}",
                number(*value)
            )?;
        }
        Ok(())
    }
}

/// Formats a number with fewer decimals the larger it is.
fn number(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1_000.0 {
        format!("{value:.0}")
    } else if magnitude >= 10.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}

/// Returns the build profile of this program, for [`Report::setting`].
pub fn build_profile() -> &'static str {
    if cfg!(debug_assertions) {
        "debug build"
    } else {
        "release build"
    }
}
