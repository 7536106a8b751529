//! Why a caller's body can't be read completely.

/// Why a caller's body can't be read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than the limit.
    TooLarge,
    /// The start of the body was not received in time, or the caller of an upload sent nothing for too long.
    Slow,
    /// The body ended early.
    Cut,
}

impl BodyError {
    /// Returns the name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::Slow => "slow",
            Self::Cut => "cut",
        }
    }
}
