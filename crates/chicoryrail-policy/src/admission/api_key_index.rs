//! Finds the organisation of an API key.

use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::Arc;

use chicoryrail_core::Organisation;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;

/// Organisations, indexed by their API keys.
///
/// Keys are looked up by a keyed digest with a per-process secret. The time of a lookup therefore reveals nothing about
/// how much of a guessed key is correct, and nobody can choose keys that collide.
#[derive(Clone, Debug, Default)]
pub struct ApiKeyIndex {
    secret: [u8; 16],
    by_digest: HashMap<u128, Arc<Organisation>>,
}

impl ApiKeyIndex {
    /// Indexes the organisations. `secret` is random for each process.
    #[must_use]
    pub fn new(secret: [u8; 16], organisations: &[Arc<Organisation>]) -> Self {
        let mut index = Self {
            secret,
            by_digest: HashMap::new(),
        };
        for organisation in organisations {
            for key in &organisation.api_keys {
                let digest = index.digest(key.expose());
                index.by_digest.insert(digest, Arc::clone(organisation));
            }
        }
        index
    }

    /// Returns the organisation with this API key; `None` if the key is unknown.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Organisation>> {
        self.by_digest.get(&self.digest(key))
    }

    fn digest(&self, key: &[u8]) -> u128 {
        let mut hasher = SipHasher24::new_with_key(&self.secret);
        hasher.write(key);
        hasher.finish128().as_u128()
    }
}
