//! Servers that may be given keys.

use chicoryrail_core::Life;

/// Server that may be given keys.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyCandidate {
    /// Server incarnation: the name and which start of the server it is.
    pub life: Life,
    /// Processing capacity relative to the other servers.
    pub weight: f64,
    /// Which further keys the server may be given.
    pub intake: KeyIntake,
}

/// Which further keys a server may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyIntake {
    /// Any keys.
    Any,
    /// Only a part of its share at a time, as it is warming up: no keys of lost or overloaded servers.
    Steps,
    /// None, as it left a call unanswered and may be lost.
    None,
}
