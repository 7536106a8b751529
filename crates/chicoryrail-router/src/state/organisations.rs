//! The organisations that callers belong to, as this host knows them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use chicoryrail_core::Millis;
use chicoryrail_core::Organisation;
use chicoryrail_core::OrganisationName;
use chicoryrail_core::QuotaLimit;
use chicoryrail_core::Site;
use chicoryrail_policy::Freshness;
use chicoryrail_policy::KeyIndex;
use chicoryrail_policy::LoneShare;

/// The organisations that callers belong to, as this host knows them.
#[derive(Debug)]
pub(crate) struct Organisations {
    secret: [u8; 16],
    index: RefCell<KeyIndex>,
    /// Version of the configuration that the index is of.
    version: Cell<u64>,
    /// How old the configuration may be.
    freshness: Cell<Freshness>,
    lone: RefCell<HashMap<OrganisationName, LoneShare>>,
}

impl Organisations {
    /// Builds an empty index with a secret of its own.
    pub(crate) fn new() -> Self {
        Self {
            secret: rand::random(),
            index: RefCell::default(),
            version: Cell::default(),
            freshness: Cell::default(),
            lone: RefCell::default(),
        }
    }

    /// Takes in the configuration in force; tells whether it is another one.
    pub(crate) fn set(&self, site: &Site) -> bool {
        if self.version.replace(site.version) == site.version {
            return false;
        }
        let organisations = site.organisations().unwrap_or_default();
        *self.index.borrow_mut() = KeyIndex::new(self.secret, organisations);
        let mut lone = self.lone.borrow_mut();
        lone.retain(|name, _| site.organisation(name).is_some());
        true
    }

    /// Returns the organisation that holds a key.
    pub(crate) fn holder(&self, key: &[u8]) -> Option<Arc<Organisation>> {
        self.index.borrow().holder(key).cloned()
    }

    /// Takes in that the configuration was current at `at`.
    pub(crate) fn prove_current(&self, at: Millis) {
        let mut freshness = self.freshness.get();
        freshness.prove(at);
        self.freshness.set(freshness);
    }

    /// Returns how old the configuration may be.
    pub(crate) fn freshness(&self) -> Freshness {
        self.freshness.get()
    }

    /// Takes a token for a request that no scheduler counts.
    ///
    /// # Errors
    ///
    /// Returns the time after which there is one.
    pub(crate) fn take_lone(
        &self,
        now: Millis,
        name: &OrganisationName,
        limit: QuotaLimit,
        hosts: usize,
    ) -> Result<(), Millis> {
        let mut lone = self.lone.borrow_mut();
        let share = lone.entry(name.clone()).or_default();
        share.take(now, limit, hosts)
    }
}
