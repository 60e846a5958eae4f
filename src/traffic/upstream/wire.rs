//! Framing of PostgreSQL messages: a tag byte, then a length that counts itself.

use super::{ProtocolSnafu, Result};

/// Bytes of tag and length.
pub(crate) const HEADER_BYTES: usize = 5;

/// Largest message that is accepted; the protocol's own bound on a row is one gigabyte.
const MAX_MESSAGE_BYTES: usize = 1 << 30;

/// Returns the length of the first message with its header, `None` while the header is incomplete.
///
/// # Errors
///
/// Fails when the length is impossible.
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

/// Returns the length of the first message if all of it is in the buffer.
///
/// # Errors
///
/// Fails when the length is impossible.
pub(crate) fn whole_message_bytes(buffer: &[u8]) -> Result<Option<usize>> {
    Ok(message_bytes(buffer)?.filter(|bytes| *bytes <= buffer.len()))
}

/// Reads a zero-terminated string from the start of a message's body.
///
/// Returns it with what follows, `None` when there is no such string.
pub(crate) fn split_string(body: &[u8]) -> Option<(&str, &[u8])> {
    let end = body.iter().position(|byte| *byte == 0)?;
    let text = std::str::from_utf8(&body[..end]).ok()?;
    Some((text, &body[end + 1..]))
}

/// Returns the body of a whole message.
pub(crate) fn body(message: &[u8]) -> &[u8] {
    message.get(HEADER_BYTES..).unwrap_or_default()
}
