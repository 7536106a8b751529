//! Size and timing of the model.

use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyTiming;
use chicoryrail_ownership::term::TermTiming;

use crate::Disruptions;
use crate::Rule;
use crate::ages::SUPPORT_ENDLESS;

/// Size, timing and rule of the model, and what may happen to its hosts.
///
/// All durations are in ticks of a few; a tick is a millisecond to the program's code.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Rule of the leaders.
    pub rule: Rule,
    /// Number of hosts, 1 to 5.
    pub hosts: usize,
    /// Disruptions that may happen in a run.
    pub disruptions: Disruptions,
    /// Whether a campaign, and a change of the record of the keys, is one step, so that nothing happens in between.
    pub whole_writes: bool,
    /// Number of times that a leader moves the key to the other server.
    pub moves: u8,
    /// Number of messages that may be on their way at the same time.
    pub messages: usize,
    /// TTL of the store lease of a leader.
    pub store_lease: Millis,
    /// Timing of terms.
    pub terms: TermTiming,
    /// Timing of key leases.
    pub keys: KeyTiming,
}

impl Config {
    /// Returns the smallest configuration of a rule: the network may be cut once, and messages arrive at once or never.
    #[must_use]
    pub fn new(rule: Rule, hosts: usize) -> Self {
        // Leaders that counted hosts were not bounded in time.
        let support_max = match rule {
            Rule::CountedHosts => SUPPORT_ENDLESS,
            _ => Millis(5),
        };
        let terms = TermTiming {
            lease_trusted: Millis(2),
            reply_age_max: Millis(1),
            support_max,
            outage_max: SUPPORT_ENDLESS,
        };
        let keys = KeyTiming {
            lease: Millis(1),
            outage_lease: Millis(4),
            renew_interval: Millis(1),
            grant_timeout: Millis::ZERO,
            release_timeout: Millis(1),
            probe_interval: Millis(1),
            renewal_permit: Millis::ZERO,
            stale_leader_max: terms.reply_age_max,
        };
        let disruptions = Disruptions {
            cuts: 1,
            ..Disruptions::default()
        };
        Self {
            rule,
            hosts,
            disruptions,
            whole_writes: true,
            moves: 1,
            messages: 0,
            store_lease: Millis(2),
            terms,
            keys,
        }
    }

    /// Returns the configuration with messages that arrive late: up to `messages` at a time, and grants up to a number of
    /// ticks after the leader checked its right to send them.
    #[must_use]
    pub fn with_late_messages(mut self, messages: usize, grant_ticks: u64) -> Self {
        self.messages = messages;
        self.keys.grant_timeout = Millis(grant_ticks);
        let wait = self.terms.reply_age_max;
        self.keys.stale_leader_max = match self.rule {
            Rule::ShortWait => Millis(wait.0.saturating_sub(grant_ticks)),
            _ => wait,
        };
        self
    }
}
