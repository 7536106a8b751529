//! Disruptions that may happen.

/// Number of disruptions of each kind that may happen in a run, or in the rest of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Disruptions {
    /// The network is cut.
    pub cuts: u8,
    /// A process stands still.
    pub pauses: u8,
    /// A process restarts without memory.
    pub restarts: u8,
    /// Entries in the list of hosts end.
    pub lapses: u8,
    /// A response of the store is lost.
    pub lost_responses: u8,
}
