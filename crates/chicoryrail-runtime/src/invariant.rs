//! The closed set of what must hold at run time.

/// What a process asserts while it runs; `docs/INVARIANTS.md` names safeguard and test of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A key has one owner: work is written, and slices are granted, to that one only.
    OneOwner,
    /// An assignment is in the store before anybody is told of it.
    StoredFirst,
    /// A server has no more requests than its slots or its cold budget at the start of each.
    WithinSlots,
    /// Servers that are taken out get no new work.
    OutIdle,
    /// A caller gets the answer to its own request.
    OwnAnswer,
    /// A refusal that says "not run" is true.
    NotRunTrue,
    /// An order is written again only after it is certain that no server ran it.
    OrderOnce,
    /// Servers that leave or are lost get no new work.
    LeavingIdle,
    /// A planned stop cuts no request.
    StopWhole,
    /// A configuration in force is replaced by a higher version only.
    ConfigForward,
    /// A table in force is replaced by one of a higher fence only.
    FenceForward,
    /// A holder acts only while its right to act is valid.
    ValidHolder,
}

impl Invariant {
    /// All invariants, in the order of their documentation.
    pub const ALL: [Self; 12] = [
        Self::OneOwner,
        Self::StoredFirst,
        Self::WithinSlots,
        Self::OutIdle,
        Self::OwnAnswer,
        Self::NotRunTrue,
        Self::OrderOnce,
        Self::LeavingIdle,
        Self::StopWhole,
        Self::ConfigForward,
        Self::FenceForward,
        Self::ValidHolder,
    ];

    /// Returns the name in metrics and events.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::OneOwner => "one-owner",
            Self::StoredFirst => "stored-first",
            Self::WithinSlots => "within-slots",
            Self::OutIdle => "out-idle",
            Self::OwnAnswer => "own-answer",
            Self::NotRunTrue => "not-run-true",
            Self::OrderOnce => "order-once",
            Self::LeavingIdle => "leaving-idle",
            Self::StopWhole => "stop-whole",
            Self::ConfigForward => "config-forward",
            Self::FenceForward => "fence-forward",
            Self::ValidHolder => "valid-holder",
        }
    }
}
