//! Stored form of a record in the platform's service.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use super::record::{Record, RecordPath};
use crate::name::OperationId;

/// Maximum number of operations stored with a record.
const MAX_OPERATIONS: usize = 16;

/// Result of decoding a stored record.
pub type Result<T, E = StoredError> = std::result::Result<T, E>;

/// Why a stored record can't be used.
#[derive(Debug, Snafu)]
pub enum StoredError {
    /// The value is not a valid record.
    #[snafu(display("the value of {path} is malformed; write it again through the API: {source}"))]
    Malformed {
        /// Path that the record is stored at.
        path: RecordPath,
        /// The cause.
        source: serde_json::Error,
    },
    /// The record belongs at another path than the one it is stored at.
    #[snafu(display("the record at {path} belongs at {own_path}; write it again through the API"))]
    WrongPath {
        /// Path that the record is stored at.
        path: RecordPath,
        /// Path that the record's own name implies.
        own_path: RecordPath,
    },
}

/// Record with the operations that last wrote it, which identify retried writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Operations that wrote the record, oldest first. A write that is retried after its response
    /// was lost is recognised by its operation.
    #[serde(default)]
    pub operations: Vec<OperationId>,
    /// The record.
    #[serde(flatten)]
    pub record: Record,
}

impl StoredRecord {
    /// Builds the stored form of `record` when `operation` writes it over `previous`.
    pub fn replacing(previous: Option<&Self>, operation: OperationId, record: Record) -> Self {
        let mut operations = previous.map_or_else(Vec::new, |stored| stored.operations.clone());
        operations.push(operation);
        let excess = operations.len().saturating_sub(MAX_OPERATIONS);
        operations.drain(..excess);
        Self { operations, record }
    }

    /// Decodes a stored value and checks that the record belongs at `path`.
    ///
    /// # Errors
    ///
    /// Fails when the value is not a valid record, or the record belongs at another path.
    pub fn decode(path: &RecordPath, value: &[u8]) -> Result<Self> {
        let malformed = MalformedSnafu { path: path.clone() };
        let stored: Self = serde_json::from_slice(value).context(malformed)?;
        let own_path = stored.record.path();
        ensure!(
            own_path == *path,
            WrongPathSnafu {
                path: path.clone(),
                own_path
            }
        );
        Ok(stored)
    }

    /// Encodes the record as JSON for storage.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record can be encoded as JSON")
    }
}

#[cfg(test)]
mod tests;
