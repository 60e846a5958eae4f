//! Writes one record: checks the expected revision, validates the change and stores it by
//! compare-and-swap. When the response to a write is lost, its outcome is found by the id of the
//! operation.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::error::{ApiError, Result};
use super::request::WriteHeaders;
use crate::configuration::validate::{validate_removal, validate_write};
use crate::configuration::{Configuration, Record, RecordPath, Revision, StoredRecord};
use crate::control::command::PlatformRequest;
use crate::control::configuration::CONFIGURATION_PREFIX;
use crate::control::event::{KeyValue, PlatformFailure, PlatformResponse};
use crate::controller::SharedSnapshot;
use crate::store::Platform;

/// Number of times that the record is read to find the outcome of a write whose response was lost.
const OUTCOME_CHECKS: u32 = 5;

/// Pause before each read that looks for the outcome of a write.
const OUTCOME_CHECK_PAUSE: Duration = Duration::from_millis(200);

/// Response to an accepted write. Whether every VM of the cell has received it is reported by
/// `/v1/status` as `revision_everywhere`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision of the write.
    pub revision: u64,
    /// Whether the operation had been accepted earlier, so that this response only repeats it.
    pub is_repeated: bool,
}

/// Record as currently stored in the service.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Current {
    pub(super) revision: Revision,
    pub(super) stored: StoredRecord,
}

/// Reads and writes records in the platform's service.
#[derive(Debug, Clone)]
pub struct Writer {
    platform: Platform,
    snapshot: SharedSnapshot,
}

impl Writer {
    /// Builds a writer, which validates changes against `snapshot`.
    pub fn new(platform: Platform, snapshot: SharedSnapshot) -> Self {
        Self { platform, snapshot }
    }

    /// Reads a record from the service; `None` when it does not exist.
    pub(super) async fn read(&self, path: &RecordPath) -> Result<Option<Current>> {
        let request = PlatformRequest::Get { key: key(path) };
        let response = (self.platform.call)(request)
            .await
            .map_err(|_failure| ApiError::Unavailable)?;
        let PlatformResponse::Found { keys, .. } = response else {
            return Err(ApiError::Unavailable);
        };
        keys.into_iter()
            .next()
            .map(|key| decode(path, &key))
            .transpose()
    }

    /// Replaces the current record with the one that `build` returns for it.
    ///
    /// An operation that was accepted earlier is not written again.
    ///
    /// # Errors
    ///
    /// Fails when the record has another revision than expected, when the change would make the
    /// configuration invalid, or when the service does not respond.
    pub(super) async fn write(
        &self,
        path: &RecordPath,
        headers: &WriteHeaders,
        build: impl FnOnce(Option<Record>) -> Result<Record>,
    ) -> Result<Accepted> {
        let current = self.read(path).await?;
        if let Some(accepted) = accepted_earlier(current.as_ref(), headers) {
            return Ok(accepted);
        }
        expect_revision(path, current.as_ref(), headers)?;
        let previous = current
            .as_ref()
            .map(|current| current.stored.record.clone());
        let record = build(previous)?;
        let findings = validate_write(&self.configuration(), &record);
        if !findings.is_empty() {
            return Err(ApiError::Invalid { findings });
        }
        let previous = current.as_ref().map(|current| &current.stored);
        let stored = StoredRecord::replacing(previous, headers.operation.clone(), record);
        self.swap(path, headers, Some(stored.encode())).await
    }

    /// Removes a record at the expected revision.
    ///
    /// # Errors
    ///
    /// Fails when the record doesn't exist, or as [`Writer::write`] does.
    pub(super) async fn remove(
        &self,
        path: &RecordPath,
        headers: &WriteHeaders,
    ) -> Result<Accepted> {
        let current = self.read(path).await?;
        if current.is_none() {
            return Err(ApiError::NotFound {
                subject: path.to_string(),
            });
        }
        expect_revision(path, current.as_ref(), headers)?;
        let findings = validate_removal(&self.configuration(), path);
        if !findings.is_empty() {
            return Err(ApiError::Invalid { findings });
        }
        self.swap(path, headers, None).await
    }

    fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.snapshot.load().configuration)
    }

    async fn swap(
        &self,
        path: &RecordPath,
        headers: &WriteHeaders,
        value: Option<Vec<u8>>,
    ) -> Result<Accepted> {
        let is_removal = value.is_none();
        let expected = headers.expected;
        let request = PlatformRequest::CompareAndSwap {
            key: key(path),
            expected,
            value,
            lease: None,
        };
        match (self.platform.call)(request).await {
            Ok(PlatformResponse::Swapped { revision }) => Ok(Accepted {
                revision: revision.0,
                is_repeated: false,
            }),
            Ok(PlatformResponse::Conflict { current }) => {
                let current = current.map(|key| decode(path, &key)).transpose()?;
                let accepted_earlier = accepted_earlier(current.as_ref(), headers);
                accepted_earlier.map_or_else(|| Err(conflict(path, current.as_ref())), Ok)
            }
            Err(PlatformFailure::NoAnswer) => self.resolve_outcome(path, headers, is_removal).await,
            Ok(_) | Err(_) => Err(ApiError::Unavailable),
        }
    }

    /// Determines the outcome of a write whose response was lost, by reading the record again.
    async fn resolve_outcome(
        &self,
        path: &RecordPath,
        headers: &WriteHeaders,
        is_removal: bool,
    ) -> Result<Accepted> {
        for _ in 0..OUTCOME_CHECKS {
            sleep(OUTCOME_CHECK_PAUSE).await;
            let Ok(current) = self.read(path).await else {
                continue;
            };
            if let Some(accepted) = accepted_earlier(current.as_ref(), headers) {
                return Ok(accepted);
            }
            if is_removal && current.is_none() {
                return Ok(Accepted {
                    revision: headers.expected.0,
                    is_repeated: true,
                });
            }
            let revision = current
                .as_ref()
                .map_or(Revision(0), |current| current.revision);
            if revision != headers.expected {
                // Another write came first, so this one can no longer take effect.
                return Err(conflict(path, current.as_ref()));
            }
        }
        // The record is unchanged, but the write may still be in flight.
        Err(ApiError::OutcomeUnknown {
            operation: headers.operation.to_string(),
        })
    }
}

fn key(path: &RecordPath) -> String {
    format!("{CONFIGURATION_PREFIX}{path}")
}

fn decode(path: &RecordPath, key: &KeyValue) -> Result<Current> {
    let value = key.value.as_deref().unwrap_or_default();
    let stored = StoredRecord::decode(path, value).map_err(|error| ApiError::Malformed {
        message: error.to_string(),
    })?;
    Ok(Current {
        revision: key.revision,
        stored,
    })
}

/// Returns the earlier acceptance if the record already includes the operation.
fn accepted_earlier(current: Option<&Current>, headers: &WriteHeaders) -> Option<Accepted> {
    let current = current?;
    let is_known = current.stored.operations.contains(&headers.operation);
    is_known.then_some(Accepted {
        revision: current.revision.0,
        is_repeated: true,
    })
}

fn expect_revision(
    path: &RecordPath,
    current: Option<&Current>,
    headers: &WriteHeaders,
) -> Result<()> {
    let revision = current.map_or(Revision(0), |current| current.revision);
    if revision == headers.expected {
        return Ok(());
    }
    Err(conflict(path, current))
}

fn conflict(path: &RecordPath, current: Option<&Current>) -> ApiError {
    let revision = current.map_or(0, |current| current.revision.0);
    ApiError::Conflict {
        subject: path.to_string(),
        revision,
    }
}

#[cfg(test)]
mod tests;
