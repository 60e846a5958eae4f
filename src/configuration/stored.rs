//! Form in which a record stands in the platform's service.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use super::record::{Record, RecordPath};
use crate::name::OperationId;

/// Operations that a record remembers.
const MAX_OPERATIONS: usize = 16;

/// Result of decoding a stored record.
pub type Result<T, E = StoredError> = std::result::Result<T, E>;

/// Why a stored record can't be used.
#[derive(Debug, Snafu)]
pub enum StoredError {
    /// The value is no record.
    #[snafu(display("the value of {path} is no record; write it again through the API: {source}"))]
    Malformed {
        /// Where the record stands.
        path: RecordPath,
        /// The cause.
        source: serde_json::Error,
    },
    /// The record names another place than it stands in.
    #[snafu(display("the record of {path} belongs to {own}; write it again through the API"))]
    Misplaced {
        /// Where the record stands.
        path: RecordPath,
        /// Where it belongs.
        own: RecordPath,
    },
}

/// Record with the operations that last wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Operations that wrote the record, latest last, so that a lost answer is found again.
    #[serde(default)]
    pub operations: Vec<OperationId>,
    /// The record.
    #[serde(flatten)]
    pub record: Record,
}

impl StoredRecord {
    /// Builds the form that follows `previous` when `operation` writes `record`.
    pub fn following(previous: Option<&Self>, operation: OperationId, record: Record) -> Self {
        let mut operations = previous.map_or_else(Vec::new, |stored| stored.operations.clone());
        operations.push(operation);
        let excess = operations.len().saturating_sub(MAX_OPERATIONS);
        operations.drain(..excess);
        Self { operations, record }
    }

    /// Decodes the value of a key.
    ///
    /// # Errors
    ///
    /// Fails when the value is no record, or belongs to another place.
    pub fn decode(path: &RecordPath, value: &[u8]) -> Result<Self> {
        let malformed = MalformedSnafu { path: path.clone() };
        let stored: Self = serde_json::from_slice(value).context(malformed)?;
        let own = stored.record.path();
        ensure!(
            own == *path,
            MisplacedSnafu {
                path: path.clone(),
                own
            }
        );
        Ok(stored)
    }

    /// Encodes the value of a key.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has a JSON form")
    }
}

#[cfg(test)]
mod tests;
