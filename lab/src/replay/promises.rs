//! Promises that a run is checked against, with the results of the checks.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoEnumIterator};

/// A property that must hold in every run.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    JsonSchema,
    Display,
    EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Promise {
    /// A session reads its own writes on any VM.
    ReadYourWrites,
    /// An acknowledged save is not lost, also when the primary that acknowledged it is replaced.
    AcknowledgedSavesKept,
    /// Transactions of different callers are never mixed on a connection.
    TransactionsApart,
    /// A request runs only for the workspace whose key was used to log in.
    OwnKeyOnly,
    /// A caller's key is never sent to a database.
    KeysUnseen,
    /// A withdrawn key stops working within seconds, also on open connections.
    WithdrawnKeysStop,
    /// No workspace exceeds its rate and burst, summed over all VMs.
    RateKept,
    /// Every caller gets the complete response to its own request.
    OwnAnswers,
    /// A request refused as "not run" did not run.
    RefusalsTrue,
    /// A save runs at most once.
    AtMostOnce,
    /// An instance that is taken out of service gets no new statements after a few seconds.
    LeavingInstancesIdle,
    /// A planned stop of a VM interrupts no request.
    PlannedStopsCutNothing,
    /// An accepted configuration change is in force on all VMs within seconds, and stays in force.
    ConfigurationInForce,
    /// The slots and connections of an instance are never exceeded.
    InstanceLimitsKept,
}

/// Results of the checks of one promise.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Number of checks.
    pub checked: u64,
    /// Number of checks that found the promise broken.
    pub broken: u64,
    /// Description of the first check that found the promise broken.
    pub first: Option<String>,
}

/// Results of the checks of all promises.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Verdicts {
    tallies: BTreeMap<Promise, Tally>,
}

impl Verdicts {
    /// Records the result of one check; `describe` is called for the first failure only.
    pub fn check(&mut self, promise: Promise, holds: bool, describe: impl FnOnce() -> String) {
        let tally = self.tallies.entry(promise).or_default();
        tally.checked += 1;
        if !holds {
            tally.broken += 1;
            tally.first.get_or_insert_with(describe);
        }
    }

    /// Returns the results for one promise; zero counts when it was never checked.
    pub fn tally(&self, promise: Promise) -> Tally {
        self.tallies.get(&promise).cloned().unwrap_or_default()
    }

    /// Returns all promises with their results, including those never checked.
    pub fn all(&self) -> impl Iterator<Item = (Promise, Tally)> {
        Promise::iter().map(|promise| (promise, self.tally(promise)))
    }
}
