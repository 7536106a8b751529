//! Compression of long messages between hosts.

use lz4_flex::block::DecompressError;
use lz4_flex::block::compress_prepend_size;
use lz4_flex::block::decompress as decompress_block;
use lz4_flex::block::uncompressed_size;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::messages::codec::MESSAGE_MEMORY_MAX;

/// Name of the compression in HTTP headers.
pub(crate) const ENCODING: &str = "lz4";

/// Minimum length of messages that are compressed, in bytes: a shorter one takes one or two packets either way.
const COMPRESSED_BYTES_MIN: usize = 2 << 10;

/// Why a message can't be decompressed.
#[derive(Debug, Snafu)]
pub(crate) enum DecompressionError {
    /// The message claims a decompressed length above [`MESSAGE_MEMORY_MAX`].
    #[snafu(display(
        "claimed length of {claimed} bytes exceeds the maximum of {MESSAGE_MEMORY_MAX}"
    ))]
    TooLong { claimed: usize },
    /// The bytes are not valid compressed data.
    #[snafu(display("{source}"))]
    Broken { source: DecompressError },
}

/// Compresses a message; `None` if it is shorter than [`COMPRESSED_BYTES_MIN`].
pub(crate) fn compress(message: &[u8]) -> Option<Vec<u8>> {
    (message.len() >= COMPRESSED_BYTES_MIN).then(|| compress_prepend_size(message))
}

/// Decompresses a message.
///
/// # Errors
///
/// Returns why the bytes can't be decompressed.
pub(crate) fn decompress(bytes: &[u8]) -> Result<Vec<u8>, DecompressionError> {
    let (claimed, block) = uncompressed_size(bytes).context(BrokenSnafu)?;
    ensure!(claimed <= MESSAGE_MEMORY_MAX, TooLongSnafu { claimed });
    decompress_block(block, claimed).context(BrokenSnafu)
}
