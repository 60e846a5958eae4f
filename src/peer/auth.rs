//! Authentication of messages between VMs with shared secrets.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of an authentication tag in bytes: a truncated HMAC-SHA-256.
pub(crate) const TAG_BYTES: usize = 16;

/// Authentication tag of a message.
pub(crate) type Tag = [u8; TAG_BYTES];

/// Shared secrets. The first signs messages; all of them are accepted for verification.
#[derive(Clone)]
pub(crate) struct Secrets {
    keys: Vec<MacKey>,
}

impl std::fmt::Debug for Secrets {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Secrets([{} hidden])", self.keys.len())
    }
}

impl Secrets {
    /// Builds the set from the configured secrets. If there are none, an empty key is used.
    pub(crate) fn new(secrets: &[String]) -> Self {
        let mut keys: Vec<_> = secrets
            .iter()
            .map(|text| MacKey::new(text.as_bytes()))
            .collect();
        if keys.is_empty() {
            keys.push(MacKey::new(b""));
        }
        Self { keys }
    }

    /// Returns the key that signs messages.
    pub(crate) fn signing_key(&self) -> &MacKey {
        &self.keys[0]
    }

    /// Returns the accepted key that verifies the tag.
    pub(crate) fn find(&self, parts: &[&[u8]], tag: &Tag) -> Option<&MacKey> {
        self.keys.iter().find(|key| key.verify(parts, tag))
    }
}

/// HMAC key of one secret, initialised once for repeated use.
#[derive(Clone)]
pub(crate) struct MacKey {
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for MacKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("MacKey(hidden)")
    }
}

impl MacKey {
    /// Builds a key from secret bytes.
    pub(crate) fn new(secret: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC accepts keys of any length");
        Self { mac }
    }

    /// Derives the key of one direction of a connection.
    pub(crate) fn derive(&self, parts: &[&[u8]]) -> Self {
        Self::new(&self.untruncated_tag(parts))
    }

    /// Returns the tag of a message, which is the concatenation of `parts`.
    pub(crate) fn sign(&self, parts: &[&[u8]]) -> Tag {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&self.untruncated_tag(parts)[..TAG_BYTES]);
        tag
    }

    /// Returns whether the tag is valid for the message.
    pub(crate) fn verify(&self, parts: &[&[u8]], tag: &Tag) -> bool {
        self.update(parts).verify_truncated_left(tag).is_ok()
    }

    fn untruncated_tag(&self, parts: &[&[u8]]) -> [u8; 32] {
        self.update(parts).finalize().into_bytes().into()
    }

    fn update(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        for part in parts {
            mac.update(part);
        }
        mac
    }
}

#[cfg(test)]
mod tests;
