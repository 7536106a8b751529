//! How messages between hosts are written.

use bincode::Decode;
use bincode::Encode;
use bincode::config::standard;
use bincode::error::DecodeError;
use bincode::error::EncodeError;

/// Bytes that a message may take in memory. A list may claim any length in a few bytes: taken at that, a process would
/// ask for all memory and die. Far above what the largest installation holds of servers.
pub(super) const MESSAGE_MEMORY_MAX: usize = 32 << 20;

/// Writes a message.
///
/// # Errors
///
/// Returns why a value can't be written.
pub(crate) fn encode(message: &impl Encode) -> Result<Vec<u8>, EncodeError> {
    bincode::encode_to_vec(message, standard())
}

/// Reads a message.
///
/// # Errors
///
/// Returns why the bytes are none.
pub(crate) fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, DecodeError> {
    let limited = standard().with_limit::<MESSAGE_MEMORY_MAX>();
    let (message, _) = bincode::decode_from_slice(bytes, limited)?;
    Ok(message)
}
