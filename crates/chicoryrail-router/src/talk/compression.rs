//! Compression of long messages between hosts.

use lz4_flex::block::DecompressError;
use lz4_flex::block::compress_prepend_size;
use lz4_flex::block::decompress as decompress_block;
use lz4_flex::block::uncompressed_size;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::talk::codec::MESSAGE_MEMORY_MAX;

/// Name of the compression in the headers of HTTP.
pub(crate) const ENCODING: &str = "lz4";

/// Length of a message from which on it is compressed: a shorter one takes one or two packets either way.
const COMPRESSED_BYTES_MIN: usize = 2 << 10;

/// Why a message can't be decompressed.
#[derive(Debug, Snafu)]
pub(crate) enum DecompressionError {
    /// It claims more memory than any message takes.
    #[snafu(display("it claims {claimed} bytes, more than {MESSAGE_MEMORY_MAX}"))]
    TooLong { claimed: usize },
    /// It is no compressed message.
    #[snafu(display("{source}"))]
    Broken { source: DecompressError },
}

/// Compresses a message; `None` where it is short.
pub(crate) fn compress(message: &[u8]) -> Option<Vec<u8>> {
    (message.len() >= COMPRESSED_BYTES_MIN).then(|| compress_prepend_size(message))
}

/// Decompresses a message.
///
/// # Errors
///
/// Returns why the bytes are no compressed message.
pub(crate) fn decompress(bytes: &[u8]) -> Result<Vec<u8>, DecompressionError> {
    let (claimed, block) = uncompressed_size(bytes).context(BrokenSnafu)?;
    ensure!(claimed <= MESSAGE_MEMORY_MAX, TooLongSnafu { claimed });
    decompress_block(block, claimed).context(BrokenSnafu)
}
