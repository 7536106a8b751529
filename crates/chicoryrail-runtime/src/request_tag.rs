//! Identifies a request on a connection.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Fingerprint of a request's id. Two requests rarely have the same one; then a connection that could carry the second is
/// not used for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTag(u64);

impl RequestTag {
    /// Returns the tag of a request with this id. All requests without an id have the same tag.
    #[must_use]
    pub fn new(id: Option<&[u8]>) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}
