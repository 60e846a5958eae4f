//! Checks of what reaches an instance; what fails them is recorded as a violation.

use std::sync::Mutex;

use strum::Display;

/// What a VM must never do to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ViolationKind {
    /// A caller's key was seen.
    CallerKeySeen,
    /// A statement of a second caller came inside a transaction.
    TransactionsMixed,
    /// More connections were open than allowed.
    TooManyConnections,
    /// More statements ran at once than the instance has slots.
    TooManyStatements,
}

/// One failed check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// What was done.
    pub kind: ViolationKind,
    /// Instance that saw it.
    pub instance: String,
    /// What was seen; holds no key.
    pub detail: String,
}

/// Violations of one group.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    forbidden: Vec<String>,
    violations: Mutex<Vec<Violation>>,
}

impl Checks {
    /// Builds checks that look for the given keys.
    pub(crate) fn new(forbidden: Vec<String>) -> Self {
        Self {
            forbidden,
            violations: Mutex::default(),
        }
    }

    /// Records a violation.
    pub(crate) fn record(&self, kind: ViolationKind, instance: &str, detail: impl Into<String>) {
        let violation = Violation {
            kind,
            instance: instance.to_owned(),
            detail: detail.into(),
        };
        log::error!(
            "event=violation kind={kind} instance={instance} detail={:?}",
            violation.detail
        );
        self.violations
            .lock()
            .expect("no holder panics")
            .push(violation);
    }

    /// Records a violation if the text holds a caller's key.
    pub(crate) fn look_for_keys(&self, instance: &str, place: &str, text: &str) {
        if self.forbidden.iter().any(|key| text.contains(key.as_str())) {
            self.record(ViolationKind::CallerKeySeen, instance, place);
        }
    }

    /// Returns all violations so far.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        self.violations.lock().expect("no holder panics").clone()
    }
}

/// Returns the caller that a statement's sqlcommenter tag names: `caller`, else `session`.
pub(crate) fn caller_tag(text: &str) -> Option<&str> {
    let value = |name: &str| {
        let (_, rest) = text.split_once(name)?;
        rest.split('\'').next()
    };
    value("caller='").or_else(|| value("session='"))
}
