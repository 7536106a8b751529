//! Counts what a scheduler decides about callers that compete for slots.

/// Numbers of decisions about callers that have time to wait or to return.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerEvents {
    /// Refused callers that were given a time to return.
    pub booked: u64,
    /// Callers that returned at their time.
    pub honoured: u64,
    /// Callers that returned before their time.
    pub too_early: u64,
    /// Callers that returned after their time.
    pub too_late: u64,
    /// Requests that went behind others because their key, caller or route had more than its share.
    pub shares_applied: u64,
}

impl CallerEvents {
    /// Returns `true` if nothing was counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
