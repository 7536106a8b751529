//! Who may hold what, as a leader keeps track of it.

use chicoryrail_core::Millis;

use crate::keys::KeyRange;
use crate::keys::OwnedRange;

/// Keys that a former owner may still hold.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) owned: OwnedRange,
    /// When the hold has surely run out.
    pub(crate) until: Millis,
    /// When a release may be tried (again).
    pub(crate) retry: Millis,
}

/// Keys that were released, with the token for the next holder.
#[derive(Clone, Debug)]
pub(crate) struct Freed {
    pub(crate) span: KeyRange,
    pub(crate) token: Option<String>,
}

/// Keys whose hold their owner has confirmed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Live {
    pub(crate) span: KeyRange,
    /// When they are to be renewed.
    pub(crate) due: Millis,
}
