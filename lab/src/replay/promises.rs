//! Promises that a run is held to, and how often each was checked and broken.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoEnumIterator};

/// What must always hold.
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
    /// A session reads its own writes, on any VM.
    ReadYourWrites,
    /// An acknowledged save is kept, whichever primary acknowledged it.
    AcknowledgedSavesKept,
    /// Transactions of two callers never mix.
    TransactionsApart,
    /// A request runs only for the workspace whose key came with it.
    OwnKeyOnly,
    /// No database sees a caller's key.
    KeysUnseen,
    /// A withdrawn key stops working within seconds, on live connections too.
    WithdrawnKeysStop,
    /// No workspace exceeds its rate and burst over all VMs.
    RateKept,
    /// Every caller gets the whole answer to its own request.
    OwnAnswers,
    /// A refusal that says "not run" is true.
    RefusalsTrue,
    /// A save runs at most once.
    AtMostOnce,
    /// An instance that leaves gets no new work after a few seconds.
    LeavingInstancesIdle,
    /// A planned stop cuts no request.
    PlannedStopsCutNothing,
    /// An accepted configuration is in force everywhere within seconds, and stays.
    ConfigurationInForce,
    /// Slots and connections of an instance are not exceeded.
    InstanceLimitsKept,
}

/// Checks of one promise.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// How often the promise was checked.
    pub checked: u64,
    /// How often it was broken.
    pub broken: u64,
    /// What broke it first.
    pub first: Option<String>,
}

/// Checks of every promise.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Verdicts {
    tallies: BTreeMap<Promise, Tally>,
}

impl Verdicts {
    /// Notes one check.
    pub fn check(&mut self, promise: Promise, holds: bool, what: impl FnOnce() -> String) {
        let tally = self.tallies.entry(promise).or_default();
        tally.checked += 1;
        if !holds {
            tally.broken += 1;
            tally.first.get_or_insert_with(what);
        }
    }

    /// Returns the checks of a promise.
    pub fn tally(&self, promise: Promise) -> Tally {
        self.tallies.get(&promise).cloned().unwrap_or_default()
    }

    /// Returns every promise with its checks.
    pub fn all(&self) -> impl Iterator<Item = (Promise, Tally)> {
        Promise::iter().map(|promise| (promise, self.tally(promise)))
    }
}
