//! Lookup of organisations by API key, and rate limits for requests that no scheduler counts.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use chicoryrail_core::Millis;
use chicoryrail_core::Organisation;
use chicoryrail_core::OrganisationName;
use chicoryrail_core::QuotaLimit;
use chicoryrail_core::Site;
use chicoryrail_policy::ApiKeyIndex;
use chicoryrail_policy::Freshness;
use chicoryrail_policy::StandaloneShare;

/// The organisations of the configuration in force, and this host's standalone shares of their rate limits.
#[derive(Debug)]
pub(crate) struct Organisations {
    /// Random secret of the index.
    secret: [u8; 16],
    index: RefCell<ApiKeyIndex>,
    /// Version of the configuration from which the index was built.
    version: Cell<u64>,
    /// When the configuration was last verified to be current.
    freshness: Cell<Freshness>,
    /// This host's share of each limit, for requests that no scheduler counts.
    standalone: RefCell<HashMap<OrganisationName, StandaloneShare>>,
}

impl Organisations {
    /// Creates an empty index with a random secret.
    pub(crate) fn new() -> Self {
        Self {
            secret: rand::random(),
            index: RefCell::default(),
            version: Cell::default(),
            freshness: Cell::default(),
            standalone: RefCell::default(),
        }
    }

    /// Applies the configuration in force. Returns `true` if its version differs from the one applied before.
    pub(crate) fn apply_site(&self, site: &Site) -> bool {
        if self.version.replace(site.version) == site.version {
            return false;
        }
        let organisations = site.organisations().unwrap_or_default();
        *self.index.borrow_mut() = ApiKeyIndex::new(self.secret, organisations);
        let mut standalone = self.standalone.borrow_mut();
        standalone.retain(|name, _| site.organisation(name).is_some());
        true
    }

    /// Returns the organisation to which an API key belongs.
    pub(crate) fn organisation_of(&self, key: &[u8]) -> Option<Arc<Organisation>> {
        self.index.borrow().find(key).cloned()
    }

    /// Records that the configuration was verified to be current at `at`.
    pub(crate) fn mark_current(&self, at: Millis) {
        let mut freshness = self.freshness.get();
        freshness.mark_current(at);
        self.freshness.set(freshness);
    }

    /// Returns when the configuration was last verified to be current.
    pub(crate) fn freshness(&self) -> Freshness {
        self.freshness.get()
    }

    /// Takes a token from this host's standalone share of a limit, for a request that no scheduler counts. The limit is
    /// divided among `hosts` hosts.
    ///
    /// # Errors
    ///
    /// Returns the time after which a token is available.
    pub(crate) fn take_standalone(
        &self,
        now: Millis,
        name: &OrganisationName,
        limit: QuotaLimit,
        hosts: usize,
    ) -> Result<(), Millis> {
        let mut standalone = self.standalone.borrow_mut();
        let share = standalone.entry(name.clone()).or_default();
        share.try_take(now, limit, hosts)
    }
}
