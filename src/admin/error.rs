//! Errors of the API, each with an HTTP status and a remedy.

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::configuration::validate::Finding;

/// Result of handling an API request.
pub type Result<T, E = ApiError> = std::result::Result<T, E>;

/// Error that an API request is answered with.
#[derive(Debug, Snafu)]
pub enum ApiError {
    /// The request has no known token.
    #[snafu(display("no operator has this token; send 'Authorization: Bearer TOKEN'"))]
    Unauthenticated,
    /// The operator's role doesn't allow the request.
    #[snafu(display("the operator may only read; use a token with the role 'operate'"))]
    Forbidden,
    /// A header is missing or malformed.
    #[snafu(display("the header {header} is missing or malformed; {remedy}"))]
    Header {
        /// Name of the header.
        header: &'static str,
        /// What to do about it.
        remedy: &'static str,
    },
    /// The record doesn't exist.
    #[snafu(display("{subject} does not exist; check its name"))]
    NotFound {
        /// Record or part of a record that was requested.
        subject: String,
    },
    /// The record has another revision than the write expects.
    #[snafu(display(
        "{subject} is at revision {revision} now; read it and decide again whether to change it"
    ))]
    Conflict {
        /// Path of the record.
        subject: String,
        /// Current revision of the record, or 0 when it doesn't exist.
        revision: u64,
    },
    /// The change would make the configuration invalid.
    #[snafu(display("the change was not accepted: {} findings", findings.len()))]
    Invalid {
        /// All problems that the validation found.
        findings: Vec<Finding>,
    },
    /// The platform's service did not respond; nothing was written.
    #[snafu(display("the platform's service gave no answer; nothing was written; try again"))]
    Unavailable,
    /// The service didn't confirm the write, which may or may not have taken effect.
    #[snafu(display(
        "the outcome of operation {operation} is not known; send it again with the same \
         Operation-Id and If-Match to learn it"
    ))]
    OutcomeUnknown {
        /// Id of the operation.
        operation: String,
    },
    /// The record stored in the service can't be decoded, or no key verifier can be derived from
    /// it.
    #[snafu(display("{message}"))]
    Malformed {
        /// What is wrong and what to do about it.
        message: String,
    },
}

/// JSON body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong and what to do about it.
    pub error: String,
    /// Current revision of the record; only set for a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Findings of the validation; empty for any other error.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
}

impl ApiError {
    fn status(&self) -> StatusCode {
        match self {
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::Header { .. } => StatusCode::BAD_REQUEST,
            Self::NotFound { .. } => StatusCode::NOT_FOUND,
            Self::Conflict { .. } => StatusCode::CONFLICT,
            Self::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::Malformed { .. } => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let status = self.status();
        let error = self.to_string();
        let (revision, findings) = match self {
            Self::Conflict { revision, .. } => (Some(revision), Vec::new()),
            Self::Invalid { findings } => (None, findings),
            _ => (None, Vec::new()),
        };
        (
            status,
            Json(ErrorBody {
                error,
                revision,
                findings,
            }),
        )
            .into_response()
    }
}
