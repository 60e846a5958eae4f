//! Compressed copy of the operators' configuration, as VMs keep it and send it to each other.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::configuration::Revision;

/// Result of decompressing a configuration.
pub type Result<T, E = DecompressionError> = std::result::Result<T, E>;

/// Largest configuration. Memory of the size that another VM names is allocated before the bytes
/// are decompressed; a malformed message could name 4 GiB.
const MAX_CONFIGURATION_BYTES: usize = 32 << 20;

/// Compressed bytes that can't be decompressed.
#[derive(Debug, Snafu)]
pub enum DecompressionError {
    /// The bytes aren't a compressed value.
    #[snafu(display(
        "the configuration can't be decompressed: {source}; it will be fetched again"
    ))]
    Malformed {
        /// Error of the decompression.
        source: lz4_flex::block::DecompressError,
    },
    /// The value would be larger than any configuration.
    #[snafu(display("the configuration would take {bytes} bytes; it will be fetched again"))]
    TooLarge {
        /// Size that the bytes name.
        bytes: usize,
    },
}

/// Operators' configuration as the store holds it, compressed: it names every route, so that it
/// is large and repeats itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedConfiguration {
    /// Store revision at which the configuration was written.
    pub revision: Revision,
    compressed: Bytes,
}

impl EncodedConfiguration {
    /// Compresses the value that the store holds.
    pub fn compress(revision: Revision, value: &[u8]) -> Self {
        Self {
            revision,
            compressed: lz4_flex::compress_prepend_size(value).into(),
        }
    }

    /// Returns the value that the store holds.
    ///
    /// # Errors
    ///
    /// Fails when the bytes received from another VM aren't a compressed value of at most 32 MiB.
    pub fn decompress(&self) -> Result<Vec<u8>> {
        let size = lz4_flex::block::uncompressed_size(&self.compressed);
        let (bytes, rest) = size.context(MalformedSnafu)?;
        ensure!(bytes <= MAX_CONFIGURATION_BYTES, TooLargeSnafu { bytes });
        lz4_flex::decompress(rest, bytes).context(MalformedSnafu)
    }
}

#[cfg(test)]
mod tests;
