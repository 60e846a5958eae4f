//! Tags that a statement carries in a comment, in the form that sqlcommenter writes.

use crate::name::{RequestId, RouteName, SessionName};
use crate::position::SessionToken;

/// Longest comment that is read as tags.
const MAX_COMMENT_BYTES: usize = 2_048;

/// What the tags of a statement, or the options of a connection, say of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Tags {
    pub(crate) route: Option<RouteName>,
    pub(crate) session: Option<SessionName>,
    pub(crate) request: Option<RequestId>,
    pub(crate) traceparent: Option<String>,
    pub(crate) token: Option<SessionToken>,
    pub(crate) timeout_ms: Option<u64>,
}

impl Tags {
    /// Takes one tag; one that isn't known, or has no valid value, is ignored.
    pub(crate) fn set(&mut self, name: &str, value: &str) {
        match name {
            "route" => self.route = Some(value.into()),
            "session" => self.session = Some(value.into()),
            "request" => self.request = Some(value.into()),
            "traceparent" => self.traceparent = Some(value.to_owned()),
            "token" => self.token = value.parse().ok(),
            "timeout_ms" => self.timeout_ms = value.parse().ok(),
            _ => {}
        }
    }

    /// Returns whether the tags differ from request to request.
    pub(crate) const fn is_per_request(&self) -> bool {
        self.request.is_some()
            || self.traceparent.is_some()
            || self.token.is_some()
            || self.timeout_ms.is_some()
    }

    /// Fills what this statement does not say from the statement or connection before it.
    pub(crate) fn or(mut self, other: &Self) -> Self {
        self.route = self.route.or_else(|| other.route.clone());
        self.session = self.session.or_else(|| other.session.clone());
        self.request = self.request.or_else(|| other.request.clone());
        self.traceparent = self.traceparent.or_else(|| other.traceparent.clone());
        self.token = self.token.or_else(|| other.token.clone());
        self.timeout_ms = self.timeout_ms.or(other.timeout_ms);
        self
    }
}

/// Statement with the comment that tags it taken off.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Tagged<'a> {
    /// The statement alone.
    pub(crate) statement: &'a str,
    /// What the comment says.
    pub(crate) tags: Tags,
}

/// Splits a statement from a tagging comment at its end or start.
pub(crate) fn split(text: &str) -> Tagged<'_> {
    let untagged = Tagged {
        statement: text,
        tags: Tags::default(),
    };
    let trimmed = text.trim_end_matches(|c: char| c.is_whitespace() || c == ';');
    if let Some(open) = trimmed.strip_suffix("*/") {
        let Some((statement, comment)) = open.rsplit_once("/*") else {
            return untagged;
        };
        return tagged(statement, comment).unwrap_or(untagged);
    }
    let Some(open) = text.trim_start().strip_prefix("/*") else {
        return untagged;
    };
    let Some((comment, statement)) = open.split_once("*/") else {
        return untagged;
    };
    tagged(statement, comment).unwrap_or(untagged)
}

fn tagged<'a>(statement: &'a str, comment: &str) -> Option<Tagged<'a>> {
    if comment.len() > MAX_COMMENT_BYTES || comment.contains("*/") || comment.contains("/*") {
        return None;
    }
    let tags = parse(comment)?;
    Some(Tagged { statement, tags })
}

fn parse(comment: &str) -> Option<Tags> {
    let mut tags = Tags::default();
    for pair in comment.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        let value = value.trim().strip_prefix('\'')?.strip_suffix('\'')?;
        tags.set(name.trim(), &decode(value)?);
    }
    Some(tags)
}

/// Decodes percent escapes and the escaped quotes that sqlcommenter writes.
fn decode(value: &str) -> Option<String> {
    if !value.contains(['%', '\\']) {
        return Some(value.to_owned());
    }
    let mut decoded = Vec::with_capacity(value.len());
    let mut bytes = value.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let high = char::from(bytes.next()?).to_digit(16)?;
                let low = char::from(bytes.next()?).to_digit(16)?;
                decoded.push((high * 16 + low) as u8);
            }
            b'\\' => decoded.push(bytes.next()?),
            _ => decoded.push(byte),
        }
    }
    String::from_utf8(decoded).ok()
}

#[cfg(test)]
mod tests;
