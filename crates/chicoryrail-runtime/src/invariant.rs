//! The list of invariants that are checked at run time.

/// An invariant that a router asserts while it runs. `docs/INVARIANTS.md` lists the safeguard and the test of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// The assignment of keys to a server is in the store before the server is sent a grant.
    StoredFirst,
    /// A caller receives the response to its own request.
    OwnAnswer,
    /// A request that is reported as not run has not run.
    NotRunTrue,
    /// A request that must not run twice is retried only if it is certain that no server ran it.
    OrderOnce,
    /// The end of a request's body is sent only behind all bytes that its caller has sent.
    WholeBody,
    /// The active configuration is replaced only by one with a higher version.
    ConfigForward,
    /// A key record is replaced only by one with a higher fencing token.
    FenceForward,
}

impl Invariant {
    /// All invariants, in the order of `docs/INVARIANTS.md`.
    pub const ALL: [Self; 7] = [
        Self::StoredFirst,
        Self::OwnAnswer,
        Self::NotRunTrue,
        Self::OrderOnce,
        Self::WholeBody,
        Self::ConfigForward,
        Self::FenceForward,
    ];

    /// Returns the name used in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::StoredFirst => "stored-first",
            Self::OwnAnswer => "own-answer",
            Self::NotRunTrue => "not-run-true",
            Self::OrderOnce => "order-once",
            Self::WholeBody => "whole-body",
            Self::ConfigForward => "config-forward",
            Self::FenceForward => "fence-forward",
        }
    }
}
