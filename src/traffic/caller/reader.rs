//! Splits a caller's byte stream into protocol messages.

use bytes::{Buf, Bytes, BytesMut};
use snafu::{Snafu, ensure};

/// Size of a message header: type and length, in bytes.
pub(crate) const HEADER_BYTES: usize = 5;

/// Result of reading a message.
pub(crate) type Result<T, E = ReadError> = std::result::Result<T, E>;

/// Why a message was rejected.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub(crate) enum ReadError {
    /// The message type is not one that a client sends.
    #[snafu(display("message type {tag:#04x} is unknown; use protocol version 3"))]
    UnknownType {
        /// Type byte.
        tag: u8,
    },
    /// The length is smaller than the length field itself.
    #[snafu(display("a message of {length} bytes is too short; use protocol version 3"))]
    TooShort {
        /// Length in the message header.
        length: usize,
    },
    /// The message is larger than the limit.
    #[snafu(display(
        "a message of {length} bytes is over the limit of {limit}; send less at once"
    ))]
    TooLong {
        /// Length in the message header.
        length: usize,
        /// Largest accepted length.
        limit: usize,
    },
    /// The body does not match the message type.
    #[snafu(display("malformed {message} message; use protocol version 3"))]
    Malformed {
        /// Name of the message.
        message: &'static str,
    },
}

/// Complete message as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Message {
    /// Type byte.
    pub(crate) tag: u8,
    /// The message, including its header.
    pub(crate) bytes: Bytes,
}

impl Message {
    /// Returns the message without its header.
    pub(crate) fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

/// Splits a stream of bytes into messages.
#[derive(Debug)]
pub(crate) struct MessageReader {
    /// Received bytes that are not yet consumed.
    pub(crate) buffer: BytesMut,
    max_message_bytes: usize,
}

impl MessageReader {
    /// Builds a reader that rejects messages over a size.
    pub(crate) fn new(max_message_bytes: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            max_message_bytes,
        }
    }

    /// Takes the next message; `None` until it has arrived completely.
    ///
    /// # Errors
    ///
    /// Fails when the header is not valid.
    pub(crate) fn next(&mut self) -> Result<Option<Message>> {
        let Some(end) = self.message_end()? else {
            return Ok(None);
        };
        let bytes = self.buffer.split_to(end).freeze();
        if self.buffer.is_empty() {
            // Frees the buffer, so that idle connections hold no memory for it.
            self.buffer = BytesMut::new();
        }
        Ok(Some(Message {
            tag: bytes[0],
            bytes,
        }))
    }

    /// Returns the end of the first message; `None` until it has arrived completely.
    fn message_end(&self) -> Result<Option<usize>> {
        let Some(&tag) = self.buffer.first() else {
            return Ok(None);
        };
        ensure!(is_frontend_message(tag), UnknownTypeSnafu { tag });
        if self.buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let length = (&self.buffer[1..HEADER_BYTES]).get_u32() as usize;
        ensure!(length >= HEADER_BYTES - 1, TooShortSnafu { length });
        ensure!(
            length <= self.max_message_bytes,
            TooLongSnafu {
                length,
                limit: self.max_message_bytes,
            }
        );
        let end = length + 1;
        Ok((self.buffer.len() >= end).then_some(end))
    }
}

const fn is_frontend_message(tag: u8) -> bool {
    matches!(
        tag,
        b'B' | b'C'
            | b'D'
            | b'E'
            | b'F'
            | b'H'
            | b'P'
            | b'Q'
            | b'S'
            | b'X'
            | b'c'
            | b'd'
            | b'f'
            | b'p'
    )
}

/// Splits a C string from the bytes that follow it.
///
/// # Errors
///
/// Fails when there is no zero byte or the string is not UTF-8.
pub(crate) fn split_text<'a>(
    bytes: &'a [u8],
    message: &'static str,
) -> Result<(&'a str, &'a [u8])> {
    let malformed = ReadError::Malformed { message };
    let Some(end) = bytes.iter().position(|&byte| byte == 0) else {
        return Err(malformed);
    };
    match std::str::from_utf8(&bytes[..end]) {
        Ok(text) => Ok((text, &bytes[end + 1..])),
        Err(_not_utf8) => Err(malformed),
    }
}

#[cfg(test)]
mod tests;
