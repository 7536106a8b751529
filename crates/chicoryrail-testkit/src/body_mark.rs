//! Length and hash of a request's body.

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip::SipHasher13;

/// Length and hash of a request's body, by which the body that a server ran is compared with the one that was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyMark {
    /// Length in bytes.
    pub bytes: u64,
    /// Hash of the bytes.
    pub hash: u64,
}

impl BodyMark {
    /// Returns the mark of a body.
    #[must_use]
    pub fn of(body: &[u8]) -> Self {
        Self {
            bytes: body.len() as u64,
            hash: SipHasher13::new().hash(body),
        }
    }
}
