//! Term record of a database in the platform's service.
//!
//! The record shows later homes and operators which terms were started. Promotions don't wait for
//! it: a term is unique by its promoter, and it becomes the current one when enough instances of
//! the group have adopted it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::Revision;
use crate::control::blackboard::CallId;
use crate::control::command::PlatformRequest;
use crate::control::event::{KeyValue, PlatformFailure, PlatformResponse};
use crate::name::{DatabaseName, InstanceName};
use crate::position::Term;
use crate::time::Timestamp;

/// Key prefix of term records, below the fleet's prefix.
pub const TERM_PREFIX: &str = "terms/";

/// Delay before the next call after a read or write of the record failed.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Value of the record, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The term.
    pub term: Term,
    /// Primary of the term; `None` while the promotion is in progress.
    pub primary: Option<InstanceName>,
}

/// This VM's copy of the record, and the record that it still has to write.
#[derive(Debug, Default)]
pub struct RecordState {
    known: Option<(Revision, Option<TermRecord>)>,
    pending_write: Option<TermRecord>,
    writing: Option<TermRecord>,
    call: Option<CallId>,
    retry_at: Option<Timestamp>,
}

impl RecordState {
    /// Returns the term in the last known version of the stored record.
    pub fn term(&self) -> Option<&Term> {
        let (_, record) = self.known.as_ref()?;
        record.as_ref().map(|record| &record.term)
    }

    /// Schedules a record to be written, replacing any that is still pending.
    pub fn schedule_write(&mut self, record: TermRecord) {
        self.pending_write = Some(record);
        self.retry_at = None;
    }

    /// Returns the next request to the service, if one is due.
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
        let request = match (&self.known, &self.pending_write) {
            (None, _) => PlatformRequest::Get { key },
            (Some(_), None) => return None,
            (Some((revision, _)), Some(pending_write)) => {
                self.writing = Some(pending_write.clone());
                PlatformRequest::CompareAndSwap {
                    key,
                    expected: *revision,
                    value: serde_json::to_vec(pending_write).ok(),
                    lease: None,
                }
            }
        };
        let call = next_call();
        self.call = Some(call);
        Some((call, request))
    }

    /// Returns whether this record is waiting for the response to the call.
    pub fn owns(&self, call: CallId) -> bool {
        self.call == Some(call)
    }

    /// Processes the response to the call in progress.
    pub fn end_call(&mut self, result: &Result<PlatformResponse, PlatformFailure>, now: Timestamp) {
        self.call = None;
        match result {
            Ok(PlatformResponse::Found { keys, .. }) => self.read(keys.first()),
            Ok(PlatformResponse::Conflict { current }) => self.read(current.as_ref()),
            Ok(PlatformResponse::Swapped { revision }) => {
                let written = self.writing.take();
                if self.pending_write == written {
                    self.pending_write = None;
                }
                self.known = Some((*revision, written));
            }
            // The write may have taken effect: the record is read again.
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
        let is_superseded = |pending_write: &TermRecord| {
            record
                .as_ref()
                .is_some_and(|found| found.term > pending_write.term || found == pending_write)
        };
        if self.pending_write.as_ref().is_some_and(is_superseded) {
            self.pending_write = None;
        }
        self.known = Some((revision, record));
    }
}

#[cfg(test)]
mod tests;
