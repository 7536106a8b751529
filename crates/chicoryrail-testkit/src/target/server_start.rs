//! The start of a target's process.

use serde::Deserialize;
use serde::Serialize;

/// The start of a server's process, which holds no keys then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStart {
    /// Name of the server.
    pub server: String,
    /// Start of the process in milliseconds since 1970, as in the server's entry in the store.
    pub born: u64,
    /// Time of the start in microseconds since 1970.
    pub time: u64,
}
