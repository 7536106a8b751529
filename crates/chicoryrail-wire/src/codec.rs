//! Bytes of messages.

use bincode::Decode;
use bincode::Encode;
use bincode::config;
use bytes::Bytes;
use snafu::ResultExt;

use crate::WireError;
use crate::error::DecodeSnafu;
use crate::error::EncodeSnafu;

/// Largest message in bytes. A configuration of several full bundles fits; a sender that announces
/// more is refused before memory is set aside.
pub const MAX_MESSAGE: usize = 8 << 20;

/// Encodes a message.
///
/// # Errors
///
/// Returns [`WireError::Encode`] where the value can't be written.
pub fn encode<T: Encode>(message: &T) -> Result<Bytes, WireError> {
    bincode::encode_to_vec(message, config::standard())
        .map(Bytes::from)
        .context(EncodeSnafu)
}

/// Decodes a message of at most [`MAX_MESSAGE`] bytes.
///
/// # Errors
///
/// Returns [`WireError::Decode`] where the bytes are no such message or go on after it.
pub fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, WireError> {
    let limits = config::standard().with_limit::<MAX_MESSAGE>();
    let (message, used) = bincode::decode_from_slice(bytes, limits).context(DecodeSnafu)?;
    if used != bytes.len() {
        return Err(WireError::Trailing {
            extra: bytes.len() - used,
        });
    }
    Ok(message)
}
