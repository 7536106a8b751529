//! Binary encoding of messages between hosts.

use bincode::Decode;
use bincode::Encode;
use bincode::config::standard;
use bincode::error::DecodeError;
use bincode::error::EncodeError;

/// Maximum memory of a decoded message, in bytes. A few bytes can claim a list of any length, and allocating that
/// length would exhaust the memory and kill the process. The limit is far above what the servers of the largest
/// installation need.
pub(super) const MESSAGE_MEMORY_MAX: usize = 32 << 20;

/// Encodes a message.
///
/// # Errors
///
/// Returns why a value can't be encoded.
pub(crate) fn encode(message: &impl Encode) -> Result<Vec<u8>, EncodeError> {
    bincode::encode_to_vec(message, standard())
}

/// Decodes a message of at most [`MESSAGE_MEMORY_MAX`] bytes in memory.
///
/// # Errors
///
/// Returns why the bytes are not a message of this type.
pub(crate) fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, DecodeError> {
    let limited = standard().with_limit::<MESSAGE_MEMORY_MAX>();
    let (message, _) = bincode::decode_from_slice(bytes, limited)?;
    Ok(message)
}
