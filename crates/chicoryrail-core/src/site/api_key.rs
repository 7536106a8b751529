//! API keys of organisations.

use secrecy::ExposeSecret;
use secrecy::SecretString;
use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use subtle::ConstantTimeEq;

/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 128;

/// A secret key that identifies the organisation of a request.
///
/// `Debug` doesn't print the key, comparison takes constant time, and the memory is cleared on drop.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(SecretString);

impl ApiKey {
    /// Creates a key from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(SecretString::from(text))
    }

    /// Returns the bytes of the key, for hashing or for the store. They must not appear in logs or errors.
    #[must_use]
    pub fn expose(&self) -> &[u8] {
        self.0.expose_secret().as_bytes()
    }

    /// Returns `true` if the key has 1 to 128 characters, all of visible ASCII, so that it fits into a header.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let bytes = self.expose();
        (1..=MAX_KEY_BYTES).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_graphic)
    }
}

impl PartialEq for ApiKey {
    fn eq(&self, other: &Self) -> bool {
        self.expose().ct_eq(other.expose()).into()
    }
}

impl Eq for ApiKey {}

impl Serialize for ApiKey {
    /// Writes the key in plain text: only the operator's file and the store contain serialized keys.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.0.expose_secret())
    }
}
