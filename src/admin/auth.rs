//! Authentication and authorization of operators by bearer token.

use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};

use super::error::{ApiError, Result};
use crate::settings::{OperatorToken, Role};

/// Authenticated operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator.
    pub name: String,
    /// Role that decides which requests the operator may send.
    pub role: Role,
}

struct Entry {
    /// SHA-256 digest of the token. Digests are compared instead of tokens so that the duration of
    /// a comparison reveals nothing about a valid token.
    digest: [u8; 32],
    operator: Operator,
}

/// Operators listed in the settings.
pub struct Operators {
    entries: Vec<Entry>,
}

impl std::fmt::Debug for Operators {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list()
            .entries(self.entries.iter().map(|entry| &entry.operator))
            .finish()
    }
}

impl Operators {
    /// Builds the list from the tokens in the settings.
    pub fn new(tokens: &[OperatorToken]) -> Self {
        let entry = |token: &OperatorToken| Entry {
            digest: Sha256::digest(token.token.as_bytes()).into(),
            operator: Operator {
                name: token.operator.clone(),
                role: token.role,
            },
        };
        Self {
            entries: tokens.iter().map(entry).collect(),
        }
    }

    /// Returns the operator that sent a request, if its role allows at least `role`.
    ///
    /// # Errors
    ///
    /// Fails when the request has no known token, or when the operator's role isn't sufficient.
    pub fn authorize(&self, headers: &HeaderMap, role: Role) -> Result<Operator> {
        let header = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let token = header.and_then(|text| text.strip_prefix("Bearer "));
        let token = token.ok_or(ApiError::Unauthenticated)?;
        let digest: [u8; 32] = Sha256::digest(token.as_bytes()).into();
        let entry = self.entries.iter().find(|entry| entry.digest == digest);
        let operator = &entry.ok_or(ApiError::Unauthenticated)?.operator;
        if role == Role::Operate && operator.role == Role::Read {
            return Err(ApiError::Forbidden);
        }
        Ok(operator.clone())
    }
}
