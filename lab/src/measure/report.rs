//! Figures of one measurement, as a table for people and JSON for programs.

use std::fmt;

use serde::Serialize;

/// What a figure must reach.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The figure must not be greater.
    AtMost(f64),
    /// The figure must not be smaller.
    AtLeast(f64),
}

impl Target {
    /// Returns whether a value reaches the target.
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

/// One figure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// The figure.
    pub value: f64,
    /// Unit of the figure.
    pub unit: &'static str,
    /// Same figure without the system, from the same run.
    pub baseline: Option<f64>,
    /// What it must reach.
    pub target: Option<Target>,
}

impl Figure {
    /// Builds a figure without baseline and target.
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
    pub fn beside(self, baseline: f64) -> Self {
        Self {
            baseline: Some(baseline),
            ..self
        }
    }

    /// Sets the target.
    #[must_use]
    pub fn reaching(self, target: Target) -> Self {
        Self {
            target: Some(target),
            ..self
        }
    }

    /// Returns whether the target is reached; true when there is none.
    pub fn is_met(&self) -> bool {
        self.target.is_none_or(|target| target.is_met(self.value))
    }
}

/// Figures of one measurement.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the measurement.
    pub measurement: &'static str,
    /// How it was run: build profile, sizes, durations.
    pub setting: String,
    /// The figures.
    pub figures: Vec<Figure>,
}

impl Report {
    /// Returns whether every target is reached.
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

/// Returns a number with four significant digits.
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

/// Returns the build profile that figures belong to.
pub fn build_profile() -> &'static str {
    if cfg!(debug_assertions) {
        "debug build"
    } else {
        "release build"
    }
}
