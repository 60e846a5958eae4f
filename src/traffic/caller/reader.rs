//! Splits what a caller sends into messages.

use bytes::{Buf, Bytes, BytesMut};
use snafu::{Snafu, ensure};

/// Bytes of a message's type and length.
pub(crate) const HEADER_BYTES: usize = 5;

/// Result of reading a message.
pub(crate) type Result<T, E = ReadError> = std::result::Result<T, E>;

/// Why what a caller sent is not a message.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub(crate) enum ReadError {
    /// The type is none that a caller sends.
    #[snafu(display("message type {tag:#04x} is unknown; use protocol version 3"))]
    UnknownType {
        /// The type.
        tag: u8,
    },
    /// The length is smaller than that of the length field.
    #[snafu(display("a message of {length} bytes is too short; use protocol version 3"))]
    TooShort {
        /// Length that the message gives.
        length: usize,
    },
    /// The message is larger than the limit.
    #[snafu(display(
        "a message of {length} bytes is over the limit of {limit}; send less at once"
    ))]
    TooLong {
        /// Length that the message gives.
        length: usize,
        /// Largest length that is accepted.
        limit: usize,
    },
    /// The content of a message is not what its type prescribes.
    #[snafu(display("malformed {message} message; use protocol version 3"))]
    Malformed {
        /// Name of the message.
        message: &'static str,
    },
}

/// Whole message as it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Message {
    /// Type of the message.
    pub(crate) tag: u8,
    /// The message with its type and length.
    pub(crate) bytes: Bytes,
}

impl Message {
    /// Returns what follows type and length.
    pub(crate) fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

/// Splits a stream of bytes into messages.
#[derive(Debug)]
pub(crate) struct MessageReader {
    /// What has arrived and was not yet taken.
    pub(crate) buffer: BytesMut,
    max_message_bytes: usize,
}

impl MessageReader {
    /// Builds a reader that refuses messages over a size.
    pub(crate) fn new(max_message_bytes: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            max_message_bytes,
        }
    }

    /// Takes the next message when it has arrived whole.
    ///
    /// # Errors
    ///
    /// Fails when what has arrived can't become a message.
    pub(crate) fn next(&mut self) -> Result<Option<Message>> {
        let Some(end) = self.whole()? else {
            return Ok(None);
        };
        let bytes = self.buffer.split_to(end).freeze();
        if self.buffer.is_empty() {
            // An idle connection holds no buffer.
            self.buffer = BytesMut::new();
        }
        Ok(Some(Message {
            tag: bytes[0],
            bytes,
        }))
    }

    /// Returns where the first message ends, when it has arrived whole.
    fn whole(&self) -> Result<Option<usize>> {
        let Some(&tag) = self.buffer.first() else {
            return Ok(None);
        };
        ensure!(is_known(tag), UnknownTypeSnafu { tag });
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

const fn is_known(tag: u8) -> bool {
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

/// Splits a string that ends with a zero byte from what follows it.
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
