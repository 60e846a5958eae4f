//! Frames of the TCP connection between two VMs, each with its own authentication tag.

use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use super::auth::{MacKey, TAG_BYTES, Tag};
use super::datagram::Envelope;
use crate::traffic::{CallerFrame, ExchangeHead, HomeFrame};

/// Maximum size of a frame in bytes: the largest caller message, with room for its envelope.
const MAX_FRAME_BYTES: usize = 17 * 1024 * 1024;

/// Size of the length prefix of each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Result of decoding a frame.
pub(crate) type Result<T, E = FrameError> = std::result::Result<T, E>;

/// Why a frame is invalid; the connection is closed.
#[derive(Debug, Snafu)]
pub(crate) enum FrameError {
    #[snafu(display("a frame of {length} bytes is outside {TAG_BYTES}..={MAX_FRAME_BYTES}"))]
    Length { length: usize },
    #[snafu(display("a frame has an invalid tag; the connection was tampered with"))]
    InvalidTag,
    #[snafu(display("a frame can't be decoded; run the same version on all VMs: {source}"))]
    Malformed { source: postcard::Error },
}

/// Identifier of a stream on its connection, assigned by the VM that opened the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct StreamId(pub(crate) u32);

/// Frame between two VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum LinkFrame {
    /// Opens a stream for an exchange.
    Open {
        stream: StreamId,
        head: Box<ExchangeHead>,
    },
    /// Carries a frame towards the home.
    Caller {
        stream: StreamId,
        frame: CallerFrame,
    },
    /// Carries a frame towards the caller.
    Home { stream: StreamId, frame: HomeFrame },
    /// Extends the send window of a stream at the receiver of this frame by `bytes`.
    WindowUpdate { stream: StreamId, bytes: u32 },
    /// Ends a stream; frames that are still in flight are dropped.
    Reset { stream: StreamId },
    /// Carries a control message that is too large for a datagram.
    Control { envelope: Box<Envelope> },
    /// Keepalive that is sent while streams are open and no other frame is due.
    Ping,
}

/// Encodes and signs the frames of one direction of a connection.
#[derive(Debug)]
pub(crate) struct FrameEncoder {
    key: MacKey,
    sequence: u64,
}

impl FrameEncoder {
    /// Builds the encoder of a direction from the direction's key.
    pub(crate) fn new(key: MacKey) -> Self {
        Self { key, sequence: 0 }
    }

    /// Appends the encoded frame to the buffer.
    pub(crate) fn encode(&mut self, frame: &LinkFrame, buffer: &mut Vec<u8>) {
        let start = buffer.len();
        buffer.extend_from_slice(&[0; LENGTH_BYTES]);
        let encoded = postcard::to_extend(frame, std::mem::take(buffer));
        *buffer = encoded.expect("a frame can be encoded");
        let tag = self.key.sign(&[
            &self.sequence.to_be_bytes(),
            &buffer[start + LENGTH_BYTES..],
        ]);
        buffer.extend_from_slice(&tag);
        let length = u32::try_from(buffer.len() - start - LENGTH_BYTES).unwrap_or(u32::MAX);
        buffer[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        self.sequence += 1;
    }
}

/// Verifies and decodes the frames of one direction of a connection.
#[derive(Debug)]
pub(crate) struct FrameDecoder {
    key: MacKey,
    sequence: u64,
}

impl FrameDecoder {
    /// Builds the decoder of a direction from the direction's key.
    pub(crate) fn new(key: MacKey) -> Self {
        Self { key, sequence: 0 }
    }

    /// Decodes the next complete frame of the buffer; returns `None` when more bytes are needed.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<LinkFrame>> {
        let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        ensure!(
            (TAG_BYTES..=MAX_FRAME_BYTES).contains(&length),
            LengthSnafu { length }
        );
        if buffer.len() < LENGTH_BYTES + length {
            buffer.reserve(LENGTH_BYTES + length - buffer.len());
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let frame = buffer.split_to(length);
        let (body, tag) = frame.split_at(length - TAG_BYTES);
        let tag: &Tag = tag.try_into().expect("the tag was split off at its length");
        ensure!(
            self.key.verify(&[&self.sequence.to_be_bytes(), body], tag),
            InvalidTagSnafu
        );
        self.sequence += 1;
        postcard::from_bytes(body).map(Some).context(MalformedSnafu)
    }
}

#[cfg(test)]
mod tests;
