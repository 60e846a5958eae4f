//! Compressed copy of the operators' configuration, as VMs keep it and send it to each other.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::configuration::Revision;

/// Result of decompressing a configuration.
pub type Result<T, E = DecompressionError> = std::result::Result<T, E>;

/// Compressed bytes that can't be decompressed.
#[derive(Debug, Snafu)]
#[snafu(display("the configuration can't be decompressed: {source}; it will be fetched again"))]
pub struct DecompressionError {
    source: lz4_flex::block::DecompressError,
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
    /// Fails when the bytes received from another VM aren't a compressed value.
    pub fn decompress(&self) -> Result<Vec<u8>> {
        lz4_flex::decompress_size_prepended(&self.compressed).context(DecompressionSnafu)
    }
}
