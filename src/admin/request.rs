//! Headers that every write must have.

use axum::http::HeaderMap;

use super::error::{ApiError, Result};
use crate::configuration::Revision;
use crate::name::OperationId;

/// Header with the id of the operation, by which a repeated write is recognised.
pub(super) const OPERATION_ID: &str = "operation-id";

/// Header with the revision that the record must have, or 0 when it must not exist.
pub(super) const IF_MATCH: &str = "if-match";

/// Maximum length of an operation id.
const MAX_OPERATION_BYTES: usize = 100;

/// Parsed headers of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct WriteHeaders {
    pub(super) operation: OperationId,
    pub(super) expected: Revision,
}

impl WriteHeaders {
    pub(super) fn read(headers: &HeaderMap) -> Result<Self> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let operation = text(OPERATION_ID)
            .filter(|id| !id.is_empty() && id.len() <= MAX_OPERATION_BYTES)
            .ok_or(ApiError::Header {
                header: "Operation-Id",
                remedy: "send an id of your own, and the same one when you send the write again",
            })?;
        let expected = text(IF_MATCH)
            .and_then(|text| text.trim_matches('"').parse().ok())
            .ok_or(ApiError::Header {
                header: "If-Match",
                remedy: "send the revision that you read, or 0 for a record that must not exist",
            })?;
        Ok(Self {
            operation: operation.into(),
            expected: Revision(expected),
        })
    }
}
