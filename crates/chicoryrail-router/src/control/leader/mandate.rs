//! What a leader's right to act rests on.

use chicoryrail_core::Millis;
use chicoryrail_ownership::Support;

/// Why a host may act as the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Basis {
    /// It may not act.
    #[default]
    Nothing,
    /// The store confirmed its lease recently.
    StoreLease,
    /// Most hosts support it.
    Support,
}

impl Basis {
    /// Returns the name in logs.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::StoreLease => "store_lease",
            Self::Support => "support",
        }
    }
}

/// What the right of a host to act as the leader rests on, at one check.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mandate {
    pub(super) basis: Basis,
    /// Time since the last confirmed renewal of the store lease was sent.
    pub(super) lease_age: Millis,
    /// Support of the other hosts; none while the store lease suffices.
    pub(super) support: Support,
}

impl Mandate {
    /// Returns `true` if the host may act as the leader.
    pub(super) fn holds(&self) -> bool {
        self.basis != Basis::Nothing
    }
}
