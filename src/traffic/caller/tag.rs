//! Tags in a statement's comment, in the format of sqlcommenter.

use crate::name::{RequestId, RouteName, SessionName};
use crate::position::SessionToken;

/// Longest comment that is parsed for tags, in bytes.
const MAX_COMMENT_BYTES: usize = 2_048;

/// Tags of a request, from the comment of its statement or the options of its connection.
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
    /// Sets one tag. An unknown tag or an invalid value is ignored.
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

    /// Returns whether any of the tags applies to a single request only.
    pub(crate) const fn is_per_request(&self) -> bool {
        self.request.is_some()
            || self.traceparent.is_some()
            || self.token.is_some()
            || self.timeout_ms.is_some()
    }

    /// Fills missing tags from those of an earlier statement or of the connection.
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

/// Statement with its tagging comment removed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Tagged<'a> {
    /// The statement without the comment.
    pub(crate) statement: &'a str,
    /// The tags in the comment.
    pub(crate) tags: Tags,
}

/// Splits a tagging comment off the end or the start of a statement.
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

/// Decodes percent-encoding and the backslash escapes that sqlcommenter writes for quotes.
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
