//! What a leader's right to act rests on.

use chicoryrail_core::Millis;

use crate::term::Support;

/// Why a host may act as the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Basis {
    /// It may not act.
    #[default]
    Nothing,
    /// The store confirmed its lease recently.
    StoreLease,
    /// A majority of the voters supports it.
    Support,
}

impl Basis {
    /// Returns the name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::StoreLease => "store_lease",
            Self::Support => "support",
        }
    }
}

/// What the right of a host to act as the leader rests on, at one check.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mandate {
    /// Why the host may act.
    pub basis: Basis,
    /// Time since the last confirmed renewal of the store lease was sent.
    pub lease_age: Millis,
    /// Support of the voters; none while the store lease suffices.
    pub support: Support,
    /// Time since the lease was confirmed, or every voter replied, whichever is later.
    pub complete_age: Millis,
}

impl Mandate {
    /// Returns `true` if the host may act as the leader.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.basis != Basis::Nothing
    }
}
