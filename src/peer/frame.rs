//! Frames of the TCP connection between two VMs, each with its own tag.

use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use super::auth::{MacKey, TAG_BYTES, Tag};
use super::datagram::Envelope;
use crate::traffic::{CallerFrame, ExchangeHead, HomeFrame};

/// Largest frame: the largest message of a caller, with room for its envelope.
const MAX_FRAME_BYTES: usize = 17 * 1024 * 1024;

/// Bytes of the length that precedes each frame.
const LENGTH_BYTES: usize = 4;

/// Result of decoding a frame.
pub(crate) type Result<T, E = FrameError> = std::result::Result<T, E>;

/// Why a frame can't be used; the connection ends.
#[derive(Debug, Snafu)]
pub(crate) enum FrameError {
    #[snafu(display("a frame of {length} bytes is outside {TAG_BYTES}..={MAX_FRAME_BYTES}"))]
    Length { length: usize },
    #[snafu(display("a frame has a wrong tag; the connection was tampered with"))]
    Forged,
    #[snafu(display("a frame can't be decoded; run the same version on all VMs: {source}"))]
    Malformed { source: postcard::Error },
}

/// Number of a stream on its connection; chosen by the VM that opened the connection.
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
    /// Gives back room in the window of the receiver of this frame.
    Taken { stream: StreamId, bytes: u32 },
    /// Ends a stream; frames that are still under way are dropped.
    Reset { stream: StreamId },
    /// Carries a control message that is too large for a datagram.
    Control { envelope: Box<Envelope> },
    /// Shows that the sender is alive while streams are open.
    Ping,
}

/// Encodes frames of one direction.
#[derive(Debug)]
pub(crate) struct Sealer {
    key: MacKey,
    count: u64,
}

impl Sealer {
    /// Starts a direction with its key.
    pub(crate) fn new(key: MacKey) -> Self {
        Self { key, count: 0 }
    }

    /// Appends an encoded frame.
    pub(crate) fn seal(&mut self, frame: &LinkFrame, buffer: &mut Vec<u8>) {
        let start = buffer.len();
        buffer.extend_from_slice(&[0; LENGTH_BYTES]);
        let encoded = postcard::to_extend(frame, std::mem::take(buffer));
        *buffer = encoded.expect("a frame has an encoding");
        let tag = self
            .key
            .sign(&[&self.count.to_be_bytes(), &buffer[start + LENGTH_BYTES..]]);
        buffer.extend_from_slice(&tag);
        let length = u32::try_from(buffer.len() - start - LENGTH_BYTES).unwrap_or(u32::MAX);
        buffer[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        self.count += 1;
    }
}

/// Decodes frames of one direction.
#[derive(Debug)]
pub(crate) struct Opener {
    key: MacKey,
    count: u64,
}

impl Opener {
    /// Starts a direction with its key.
    pub(crate) fn new(key: MacKey) -> Self {
        Self { key, count: 0 }
    }

    /// Takes the next whole frame from the buffer; `None` when more bytes are needed.
    pub(crate) fn open(&mut self, buffer: &mut BytesMut) -> Result<Option<LinkFrame>> {
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
            self.key.verify(&[&self.count.to_be_bytes(), body], tag),
            ForgedSnafu
        );
        self.count += 1;
        postcard::from_bytes(body).map(Some).context(MalformedSnafu)
    }
}

#[cfg(test)]
mod tests;
