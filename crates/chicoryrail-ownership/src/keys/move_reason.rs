//! Why keys move.

/// Why a plan moves keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// Servers joined or left, or keys have no owner.
    Required,
    /// A key is overloaded and gets a server of its own, or no longer needs it.
    HotKey,
    /// A server's load is far above its fair share.
    Relief,
    /// The load is distributed more evenly.
    Balance,
    /// An operator pinned them.
    Pinned,
}

impl MoveReason {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Required => "required",
            Self::HotKey => "hot_key",
            Self::Relief => "relief",
            Self::Balance => "balance",
            Self::Pinned => "pinned",
        }
    }
}
