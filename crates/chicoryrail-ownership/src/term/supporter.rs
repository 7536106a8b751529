//! What a core host says to the queries of leaders.

/// State of a host that decides whether it replies to a leader's query.
///
/// A reply says that the host knows of no later term, and a successor relies on it that no host says so again after it
/// has heard of the successor. So a host that has just started replies only once it has read the record of the last term
/// from the store, since its former process may have heard of that term. And a host that campaigns does not reply until
/// it knows whether it leads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Supporter {
    has_read: bool,
    campaigns: bool,
}

impl Supporter {
    /// Records that the process has read the record of the last term from the store since its start, and knows its number.
    pub const fn record_read(&mut self) {
        self.has_read = true;
    }

    /// Records that a campaign is about to be sent.
    pub const fn begin_campaign(&mut self) {
        self.campaigns = true;
    }

    /// Records that the outcome of the campaign is known, or that this host will not act on it.
    pub const fn end_campaign(&mut self) {
        self.campaigns = false;
    }

    /// Returns `true` if the host may reply to a query.
    #[must_use]
    pub const fn may_reply(&self) -> bool {
        self.has_read && !self.campaigns
    }
}
