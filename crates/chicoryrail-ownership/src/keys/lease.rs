//! Key leases as the leader tracks them.

use chicoryrail_core::Millis;

use crate::keys::KeyRange;
use crate::keys::OwnedRange;

/// Keys that a former owner may still hold.
#[derive(Clone, Debug, Hash)]
pub(crate) struct FormerLease {
    /// Range of the keys, and the former owner.
    pub(crate) owned: OwnedRange,
    /// When the former owner's lease has certainly expired, once no earlier leader that may have renewed it acts.
    pub(crate) expires_at: Millis,
    /// Whether an earlier leader may have renewed it.
    pub(crate) stale: bool,
    /// Earliest time of the next release attempt.
    pub(crate) retry_at: Millis,
}

/// Keys that their former owner released, with the handover token for the next owner.
#[derive(Clone, Debug, Hash)]
pub(crate) struct ReleasedKeys {
    pub(crate) span: KeyRange,
    pub(crate) handover: Option<String>,
}

/// Keys whose owner has confirmed the grant.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct ConfirmedLease {
    pub(crate) span: KeyRange,
    /// When the lease is due for renewal.
    pub(crate) renew_at: Millis,
    /// When the server stops serving the keys unless the lease is renewed.
    pub(crate) expires_at: Millis,
}
