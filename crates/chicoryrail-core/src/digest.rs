//! Content addresses of bundles.

use std::fmt;

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// The SHA-256 of a bundle's text, in lower-case hexadecimal.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// Computes the digest of `text`.
    #[must_use]
    pub fn of(text: &[u8]) -> Self {
        Self(
            Sha256::digest(text)
                .iter()
                .map(|b| format!("{b:02x}"))
                .collect(),
        )
    }

    /// Reads a digest of 64 lower-case hexadecimal characters; `None` where it is not one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        (text.len() == 64 && text.bytes().all(hex)).then(|| Self(text.to_owned()))
    }

    /// Returns the hexadecimal text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
