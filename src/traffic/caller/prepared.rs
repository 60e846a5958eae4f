//! Prepared statements of a session, mapped to names that all sessions share.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::{BufMut, Bytes, BytesMut};
use xxhash_rust::xxh3::xxh3_64;

use super::classify::Plan;
use super::reader::HEADER_BYTES;
use super::tag::Tags;

/// Statement name that is never used, for a `Close` that is sent only for its `CloseComplete`.
pub(crate) const NO_STATEMENT: &str = "cl_none";

/// Prepared statement as it is known to instances.
#[derive(Debug)]
pub(crate) struct Prepared {
    /// Shared name, a hash of the text and the parameter types.
    pub(crate) name: Arc<str>,
    /// `Parse` message with the shared name.
    pub(crate) parse: Bytes,
    /// Classification of the statement.
    pub(crate) plan: Arc<Plan>,
    /// Tags in the statement's comment.
    pub(crate) tags: Tags,
}

impl Prepared {
    /// Builds the shared form of a statement; `types` is the rest of the `Parse` message after the
    /// text.
    pub(crate) fn new(text: &str, types: &[u8], plan: Arc<Plan>, tags: Tags) -> Self {
        let mut content = BytesMut::with_capacity(text.len() + 1 + types.len());
        content.put_slice(text.as_bytes());
        content.put_u8(0);
        content.put_slice(types);
        let name = format!("cl_{:016x}", xxh3_64(&content));
        Self {
            parse: named_message(b'P', &[&name], &content),
            name: name.into(),
            plan,
            tags,
        }
    }
}

/// Builds a message whose body is `names` as C strings, followed by `rest`.
pub(crate) fn named_message(tag: u8, names: &[&str], rest: &[u8]) -> Bytes {
    let mut message = BytesMut::new();
    put_named(&mut message, tag, names, rest);
    message.freeze()
}

/// Appends a message whose body is `names` as C strings, followed by `rest`.
pub(crate) fn put_named(out: &mut BytesMut, tag: u8, names: &[&str], rest: &[u8]) {
    let texts: usize = names.iter().map(|name| name.len() + 1).sum();
    let length = HEADER_BYTES - 1 + texts + rest.len();
    out.reserve(length + 1);
    out.put_u8(tag);
    // Can't overflow: the caller's own message was within the message size limit, which is below
    // `u32::MAX`.
    out.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
    for name in names {
        out.put_slice(name.as_bytes());
        out.put_u8(0);
    }
    out.put_slice(rest);
}

/// Prepared statements of one session, by the names that the caller gave them.
#[derive(Debug, Default)]
pub(crate) struct PreparedStatements {
    by_name: HashMap<Box<str>, Arc<Prepared>>,
}

impl PreparedStatements {
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Arc<Prepared>> {
        self.by_name.get(name)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Adds a statement, or replaces the one with the same name.
    pub(crate) fn insert(&mut self, name: &str, prepared: Arc<Prepared>) {
        self.by_name.insert(name.into(), prepared);
    }

    pub(crate) fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Removes all statements and frees their memory.
    pub(crate) fn clear(&mut self) {
        self.by_name = HashMap::new();
    }
}
