//! The record of a database's term in the platform's service.
//!
//! The record tells a later home, and operators, which terms were started. No promotion waits for
//! it: a term is unique by its promoter, and what makes it the current one is that enough
//! instances of the group have adopted it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::Revision;
use crate::control::blackboard::CallId;
use crate::control::command::PlatformRequest;
use crate::control::event::{KeyValue, PlatformAnswer, PlatformFailure};
use crate::name::{DatabaseName, InstanceName};
use crate::position::Term;
use crate::time::Timestamp;

/// Prefix of term records below the fleet's prefix.
pub const TERM_PREFIX: &str = "terms/";

const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Value of the record, in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The term.
    pub term: Term,
    /// Its primary; `None` while the promotion is under way.
    pub primary: Option<InstanceName>,
}

/// This VM's copy of the record, and what it wants to write.
#[derive(Debug, Default)]
pub struct RecordState {
    known: Option<(Revision, Option<TermRecord>)>,
    wanted: Option<TermRecord>,
    writing: Option<TermRecord>,
    call: Option<CallId>,
    retry_at: Option<Timestamp>,
}

impl RecordState {
    /// Returns the latest term that the service is known to hold.
    pub fn term(&self) -> Option<&Term> {
        let (_, record) = self.known.as_ref()?;
        record.as_ref().map(|record| &record.term)
    }

    /// Wants a record to be written, in place of any that was wanted before.
    pub fn want(&mut self, record: TermRecord) {
        self.wanted = Some(record);
        self.retry_at = None;
    }

    /// Returns the next call to the service, if one is due.
    pub fn next_request(
        &mut self,
        database: &DatabaseName,
        next_call: impl FnOnce() -> CallId,
        now: Timestamp,
    ) -> Option<(CallId, PlatformRequest)> {
        if self.call.is_some() || self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        let key = format!("{TERM_PREFIX}{database}");
        let request = match (&self.known, &self.wanted) {
            (None, _) => PlatformRequest::Get { key },
            (Some(_), None) => return None,
            (Some((revision, _)), Some(wanted)) => {
                self.writing = Some(wanted.clone());
                PlatformRequest::CompareAndSwap {
                    key,
                    expected: *revision,
                    value: serde_json::to_vec(wanted).ok(),
                    lease: None,
                }
            }
        };
        let call = next_call();
        self.call = Some(call);
        Some((call, request))
    }

    /// Returns whether the call is one of this record's.
    pub fn owns(&self, call: CallId) -> bool {
        self.call == Some(call)
    }

    /// Takes the answer to the call that is under way.
    pub fn ended(&mut self, result: &Result<PlatformAnswer, PlatformFailure>, now: Timestamp) {
        self.call = None;
        match result {
            Ok(PlatformAnswer::Found { keys, .. }) => self.read(keys.first()),
            Ok(PlatformAnswer::Conflict { current }) => self.read(current.as_ref()),
            Ok(PlatformAnswer::Swapped { revision }) => {
                let written = self.writing.take();
                if self.wanted == written {
                    self.wanted = None;
                }
                self.known = Some((*revision, written));
            }
            // What was written is found again by reading.
            Err(PlatformFailure::NoAnswer) => {
                self.known = None;
                self.retry_at = Some(now + RETRY_INTERVAL);
            }
            _ => self.retry_at = Some(now + RETRY_INTERVAL),
        }
    }

    fn read(&mut self, found: Option<&KeyValue>) {
        let value = found.and_then(|key| key.value.as_deref());
        let record = value.and_then(|bytes| serde_json::from_slice::<TermRecord>(bytes).ok());
        let revision = found.map_or(Revision(0), |key| key.revision);
        let surpassed = |wanted: &TermRecord| {
            record
                .as_ref()
                .is_some_and(|found| found.term > wanted.term || found == wanted)
        };
        if self.wanted.as_ref().is_some_and(surpassed) {
            self.wanted = None;
        }
        self.known = Some((revision, record));
    }
}

#[cfg(test)]
mod tests;
