//! The closed set of what must hold at run time.

/// What a router asserts while it runs; `docs/INVARIANTS.md` names safeguard and test of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// Who is to hold keys is in the store before a server is told.
    StoredFirst,
    /// A caller gets the answer to its own request.
    OwnAnswer,
    /// A refusal that says that a request has not run is true.
    NotRunTrue,
    /// A request that may run once is sent again only after it is certain that no server ran it.
    OrderOnce,
    /// A configuration in force is replaced by a higher version only.
    ConfigForward,
    /// A key record is replaced by one of a higher fence only.
    FenceForward,
}

impl Invariant {
    /// All invariants, in the order of their documentation.
    pub const ALL: [Self; 6] = [
        Self::StoredFirst,
        Self::OwnAnswer,
        Self::NotRunTrue,
        Self::OrderOnce,
        Self::ConfigForward,
        Self::FenceForward,
    ];

    /// Returns the name in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::StoredFirst => "stored-first",
            Self::OwnAnswer => "own-answer",
            Self::NotRunTrue => "not-run-true",
            Self::OrderOnce => "order-once",
            Self::ConfigForward => "config-forward",
            Self::FenceForward => "fence-forward",
        }
    }
}
