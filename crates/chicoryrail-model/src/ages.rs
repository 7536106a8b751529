//! Ages that tell states apart.

use chicoryrail_core::Millis;

use crate::Config;

/// Duration that no run reaches.
pub(crate) const SUPPORT_ENDLESS: Millis = Millis(1_000);

/// Ages from which points in time are not told apart.
#[derive(Clone, Copy, Debug)]
pub struct Ages {
    pub(crate) reply: Millis,
    pub(crate) support: Millis,
    pub(crate) store_lease: Millis,
    pub(crate) key: Millis,
}

impl Ages {
    /// Returns the ages of a configuration.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let terms = &config.terms;
        // Support that does not end within a run need not be counted.
        let support = match terms.support_max < SUPPORT_ENDLESS {
            true => terms.support_max + Millis(2),
            false => terms.reply_age_max + Millis(1),
        };
        Self {
            reply: terms.reply_age_max,
            support,
            store_lease: config.store_lease.max(terms.lease_trusted),
            key: config.keys.lease,
        }
    }
}
