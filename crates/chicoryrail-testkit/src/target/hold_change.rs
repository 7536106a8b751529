//! A change of the keys that a target holds.

use serde::Deserialize;
use serde::Serialize;

/// A grant or a release of keys at a server, or a grant that the server refused.
///
/// Times are in microseconds since 1970.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldChange {
    /// Name of the server.
    pub server: String,
    /// Service of the server.
    pub service: String,
    /// Start of the server's process in milliseconds since 1970.
    pub born: u64,
    /// Time at which the head of the call had been read.
    pub received: u64,
    /// Time of the change.
    pub time: u64,
    /// First key of the call.
    pub first: u16,
    /// Last key of the call, inclusive.
    pub last: u16,
    /// Fencing token of the call.
    pub fence: u64,
    /// Length of the granted lease in milliseconds, counted from `time`; 0 for a release.
    pub length_ms: u64,
    /// What the server did with the call.
    pub kind: HoldKind,
}

/// What a server did with a grant or a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldKind {
    /// The grant took effect, for the first time or as a renewal.
    Granted,
    /// The release took effect; requests that were running on the keys may still finish.
    Released,
    /// The grant's fence is below one seen before; it had no effect.
    Refused,
}
