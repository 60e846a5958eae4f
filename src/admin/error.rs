//! Errors of the API, each with its HTTP status and remedy.

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::configuration::validate::Finding;

/// Result of a request to the API.
pub type Result<T, E = ApiError> = std::result::Result<T, E>;

/// Why a request was not carried out.
#[derive(Debug, Snafu)]
pub enum ApiError {
    /// The request has no known token.
    #[snafu(display("no operator has this token; send 'Authorization: Bearer TOKEN'"))]
    Unauthenticated,
    /// The operator may not do this.
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
        /// What was looked for.
        subject: String,
    },
    /// The record has changed since it was read.
    #[snafu(display(
        "{subject} is at revision {revision} now; read it and decide again whether to change it"
    ))]
    Conflict {
        /// Which record.
        subject: String,
        /// Revision that it has; 0 when it doesn't exist.
        revision: u64,
    },
    /// The change would break the configuration.
    #[snafu(display("the change was not accepted: {} findings", findings.len()))]
    Invalid {
        /// Everything that is wrong.
        findings: Vec<Finding>,
    },
    /// The service can't be reached; nothing was written.
    #[snafu(display("the platform's service gave no answer; nothing was written; try again"))]
    Unavailable,
    /// The write may have taken effect.
    #[snafu(display(
        "the outcome of operation {operation} is not known; send it again with the same \
         Operation-Id and If-Match to learn it"
    ))]
    OutcomeUnknown {
        /// The operation.
        operation: String,
    },
    /// The record in the service can't be read.
    #[snafu(display("{message}"))]
    Malformed {
        /// What is wrong, with the remedy.
        message: String,
    },
}

/// Body of a response that reports an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong and what to do about it.
    pub error: String,
    /// Revision that the record has, for a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Findings of the validation.
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
