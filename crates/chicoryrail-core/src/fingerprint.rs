//! Identity of a request across attempts and hosts.

use std::fmt;
use std::str::FromStr;

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Number of bytes of a fingerprint.
const BYTES: usize = 16;

/// Identity of a request: a cryptographic hash of its method, host name, path, organisation and body, so that nobody can
/// build a request with the fingerprint of another one.
///
/// Its text form has 32 hexadecimal digits.
///
/// # Example
///
/// ```
/// use chicoryrail_core::Fingerprint;
///
/// let fingerprint = Fingerprint::from([0xab; 16]);
/// assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
/// ```
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct Fingerprint([u8; BYTES]);

/// A text is not a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a fingerprint has {} hexadecimal digits, not {text:?}", 2 * BYTES))]
pub struct FingerprintError {
    /// The text.
    text: String,
}

impl From<[u8; BYTES]> for Fingerprint {
    fn from(bytes: [u8; BYTES]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.len() == 2 * BYTES && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| is_hex);
        let number = number.ok_or_else(|| FingerprintError {
            text: text.to_owned(),
        })?;
        Ok(Self(number.to_be_bytes()))
    }
}
