//! Which processes live, from heartbeats and the platform's lagging list.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;

use crate::Timing;

/// What is known of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Liveness {
    /// It answers and takes new work.
    Live,
    /// It answers, or was told, that it takes no new work.
    Leaving,
    /// It has been silent for a while.
    Suspect,
    /// It has been silent for long, or was never heard.
    Gone,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Millis,
    leaving: bool,
}

/// The processes of one role, by host.
///
/// Silence alone makes a process suspect and then gone, which lets others try a take-over; the
/// take-over's own rule makes it safe. Only silence and absence from the list together count as
/// removed for good, since the list lags and a silent process may be alive beyond a partition.
#[derive(Clone, Debug, Default)]
pub struct Members {
    heard: BTreeMap<HostName, Heard>,
    listed: BTreeMap<HostName, bool>,
    outs: BTreeSet<HostName>,
    complete: Option<Millis>,
}

impl Members {
    /// Takes in a sign of life.
    pub fn heard(&mut self, now: Millis, host: &HostName, leaving: bool) {
        self.heard.insert(host.clone(), Heard { at: now, leaving });
    }

    /// Takes in the platform's list: each host and whether it leaves.
    pub fn listed(&mut self, now: Millis, hosts: impl Iterator<Item = (HostName, bool)>) {
        self.listed = hosts.collect();
        self.complete = Some(now);
    }

    /// Takes in the hosts that operators have taken out.
    pub fn set_outs(&mut self, outs: &BTreeSet<HostName>) {
        self.outs.clone_from(outs);
    }

    /// Returns what is known of a host's process.
    #[must_use]
    pub fn state(&self, now: Millis, host: &HostName, timing: &Timing) -> Liveness {
        let Some(heard) = self.heard.get(host) else {
            return Liveness::Gone;
        };
        let silent = now.since(heard.at);
        if silent >= timing.gone {
            Liveness::Gone
        } else if silent >= timing.suspect {
            Liveness::Suspect
        } else if heard.leaving || self.outs.contains(host) || self.listed.get(host) == Some(&true)
        {
            Liveness::Leaving
        } else {
            Liveness::Live
        }
    }

    /// Returns how long a host's process has been silent; the longest time where never heard.
    #[must_use]
    pub fn silent(&self, now: Millis, host: &HostName) -> Millis {
        self.heard
            .get(host)
            .map_or(Millis::MAX, |h| now.since(h.at))
    }

    /// Tells whether the list has the host.
    #[must_use]
    pub fn is_listed(&self, host: &HostName) -> bool {
        self.listed.contains_key(host)
    }

    /// Tells whether the platform has taken the host away for good: silent, and absent from a list
    /// that was read.
    #[must_use]
    pub fn is_removed(&self, now: Millis, host: &HostName, timing: &Timing) -> bool {
        self.complete.is_some() && !self.is_listed(host) && self.silent(now, host) >= timing.gone
    }

    /// Iterates over the hosts in a state.
    pub fn in_state<'a>(
        &'a self,
        now: Millis,
        state: Liveness,
        timing: &'a Timing,
    ) -> impl Iterator<Item = &'a HostName> {
        self.heard
            .keys()
            .filter(move |h| self.state(now, h, timing) == state)
    }
}
