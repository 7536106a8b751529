//! The end of the leases that a server may hold.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::KeyLeases;

impl KeyLeases {
    /// Returns when the last lease that a server may hold ends; `None` if the server is unknown or has ended.
    #[must_use]
    pub fn last_lease_end(&self, life: &Life) -> Option<Millis> {
        let state = self.servers.get(life).filter(|s| !s.ended)?;
        let former = self.former_leases.iter().filter(|l| l.owned.owner == *life);
        let ends = former.map(|l| l.expires_at).chain([state.lease_until]);
        ends.max()
    }
}
