//! Checks of what VMs send to an instance. A failed check is recorded as a violation.

use std::sync::Mutex;

use strum::Display;

/// Kind of a violation: something that a VM must never do to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ViolationKind {
    /// The instance received a caller's key.
    CallerKeySeen,
    /// A transaction received a statement of another caller.
    TransactionsMixed,
    /// A VM tried to exceed the connection limit of the instance.
    TooManyConnections,
    /// More statements ran concurrently than the instance has slots.
    TooManyStatements,
}

/// One failed check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which rule was violated.
    pub kind: ViolationKind,
    /// Name of the instance that recorded the violation.
    pub instance: String,
    /// Description of what the instance observed. Never contains a key.
    pub detail: String,
}

/// Checks shared by the instances of one group, and the violations recorded so far.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    forbidden_keys: Vec<String>,
    violations: Mutex<Vec<Violation>>,
}

impl Checks {
    /// Creates checks that search for the given caller keys.
    pub(crate) fn new(forbidden_keys: Vec<String>) -> Self {
        Self {
            forbidden_keys,
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
            .expect("no code panics while it holds the lock")
            .push(violation);
    }

    /// Records a violation if the text contains a caller's key; `source` says where the text came
    /// from.
    pub(crate) fn check_for_caller_keys(&self, instance: &str, source: &str, text: &str) {
        if self
            .forbidden_keys
            .iter()
            .any(|key| text.contains(key.as_str()))
        {
            self.record(ViolationKind::CallerKeySeen, instance, source);
        }
    }

    /// Returns all violations recorded so far.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        self.violations
            .lock()
            .expect("no code panics while it holds the lock")
            .clone()
    }
}

/// Returns the caller named in a statement's sqlcommenter tags: `caller` if present, else
/// `session`.
pub(crate) fn caller_tag(text: &str) -> Option<&str> {
    let value = |name: &str| {
        let (_, rest) = text.split_once(name)?;
        rest.split('\'').next()
    };
    value("caller='").or_else(|| value("session='"))
}
