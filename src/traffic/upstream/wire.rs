//! Framing of PostgreSQL messages: a tag byte, then a length that includes itself.

use super::{ProtocolSnafu, Result};

/// Size of the tag and length in bytes.
pub(crate) const HEADER_BYTES: usize = 5;

/// Largest message that is accepted; the protocol limits a row to one gigabyte.
const MAX_MESSAGE_BYTES: usize = 1 << 30;

/// Returns the length of the first message including its header, or `None` while the header is
/// incomplete.
///
/// # Errors
///
/// Fails when the length is invalid.
pub(crate) fn message_bytes(buffer: &[u8]) -> Result<Option<usize>> {
    let Some(header) = buffer.first_chunk::<HEADER_BYTES>() else {
        return Ok(None);
    };
    let [_tag, length @ ..] = *header;
    let length = u32::from_be_bytes(length) as usize;
    if !(4..=MAX_MESSAGE_BYTES).contains(&length) {
        let what = format!("message length {length}");
        return ProtocolSnafu { what }.fail();
    }
    Ok(Some(length + 1))
}

/// Returns the length of the first message, or `None` while the buffer does not contain all of it.
///
/// # Errors
///
/// Fails when the length is invalid.
pub(crate) fn whole_message_bytes(buffer: &[u8]) -> Result<Option<usize>> {
    Ok(message_bytes(buffer)?.filter(|bytes| *bytes <= buffer.len()))
}

/// Reads a zero-terminated string from the start of a message's body.
///
/// Returns the string and the bytes after it, or `None` when there is no such string.
pub(crate) fn split_string(body: &[u8]) -> Option<(&str, &[u8])> {
    let end = body.iter().position(|byte| *byte == 0)?;
    let text = std::str::from_utf8(&body[..end]).ok()?;
    Some((text, &body[end + 1..]))
}

/// Returns the body of a complete message, without its header.
pub(crate) fn body(message: &[u8]) -> &[u8] {
    message.get(HEADER_BYTES..).unwrap_or_default()
}
