//! Rules that the model can be run with.

use std::str::FromStr;

/// Rule by which a leader acts and a successor takes over.
///
/// All but [`Rule::Recorded`] are known to be wrong. The model must find a breach of each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rule {
    /// The rule of the program.
    #[default]
    Recorded,
    /// A leader counts the hosts that it believes to be listed, and a successor takes its predecessor for stopped at once.
    CountedHosts,
    /// A host that has restarted replies before it has read the record of the last term.
    ReplyUnread,
    /// A host that campaigns replies to the queries of the current leader.
    ReplyCampaigning,
    /// A leader that changes the voters counts only the new ones from the start of the write.
    NewVotersOnly,
    /// A successor takes its predecessor for stopped when one voter fewer than needed knows its term.
    FewerThanHalf,
    /// A successor waits for less than a reply to a query may be old and a grant may be on its way.
    ShortWait,
}

impl Rule {
    /// All rules that are known to be wrong.
    pub const FAULTY: [Self; 6] = [
        Self::CountedHosts,
        Self::ReplyUnread,
        Self::ReplyCampaigning,
        Self::NewVotersOnly,
        Self::FewerThanHalf,
        Self::ShortWait,
    ];

    /// Returns the name on the command line and in file names.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Recorded => "recorded",
            Self::CountedHosts => "counted-hosts",
            Self::ReplyUnread => "reply-unread",
            Self::ReplyCampaigning => "reply-campaigning",
            Self::NewVotersOnly => "new-voters-only",
            Self::FewerThanHalf => "fewer-than-half",
            Self::ShortWait => "short-wait",
        }
    }
}

impl FromStr for Rule {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let mut all = std::iter::once(Self::Recorded).chain(Self::FAULTY);
        let found = all.find(|rule| rule.name() == name);
        found.ok_or_else(|| format!("no rule is named {name}"))
    }
}
