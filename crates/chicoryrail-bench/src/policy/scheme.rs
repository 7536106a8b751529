//! What chooses the server of a request.

/// What chooses the server of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scheme {
    /// The decisions of `chicoryrail-policy`, spread over several gates.
    Ours,
    /// Any server.
    Random,
    /// One server after the other.
    RoundRobin,
    /// The server with the fewest requests in flight and waiting, known exactly.
    LeastRequests,
    /// The better of two by the load that the servers reported.
    TwoChoices,
}

impl Scheme {
    /// What ours is measured against. Each sees all requests at once and without a hop, an
    /// advantage over ours, and has the same limits of slots, queues and deadlines.
    pub const BASELINES: [Self; 4] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastRequests,
        Self::TwoChoices,
    ];

    /// Returns the name in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastRequests => "least-requests",
            Self::TwoChoices => "two-choices",
        }
    }
}
