//! What is known of the way of each rolled version to the hosts.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_ownership::RollOut;
use chicoryrail_ownership::RollState;
use chicoryrail_ownership::Timing;
use chicoryrail_wire::Role;

use crate::fleet::Snapshot;

/// Versions that are followed at a time. Operators ask for the newest or the one before; more would
/// only cost each look's work.
const FOLLOWED: usize = 8;

/// The rolled versions that were asked about lately.
#[derive(Debug, Default)]
pub(crate) struct Rolls {
    /// Highest version known to be accepted: that never reverts, and holds for all lower ones.
    accepted: Option<u64>,
    /// End of the last look that was taken in.
    taken: Millis,
    /// Versions and their ways, the last one asked about at the back.
    ways: VecDeque<(u64, RollOut)>,
    /// Hosts that are counted, with the last sign of life or listing.
    known: BTreeMap<HostName, Millis>,
}

impl Rolls {
    /// Takes in a look and returns the state of `version` after it.
    pub(crate) fn take(&mut self, look: &Snapshot, version: u64) -> RollState {
        if self.accepted.is_some_and(|a| version <= a) {
            return RollState::Accepted;
        }
        self.follow(look, version);
        // Failure: two looks overlap, and the second reports of a majority were asked for before all
        // of the first were there; a host restarts between and the version is lost after `accepted`.
        // A look that began before the end of the last one taken in is left out; the next is not.
        if self.taken == Millis::ZERO || look.asked > self.taken {
            self.taken = look.ended;
            self.direct(look);
            self.relayed(look);
            self.unlisted(look);
        }
        let (_, way) = self.ways.back().expect("the version is followed");
        let state = way.state(look.ended, &Timing::STANDARD);
        if state == RollState::Accepted {
            self.accepted = Some(version);
            self.ways.retain(|(v, _)| *v > version);
        }
        state
    }

    /// Returns the end of the last look that was taken in; a look has to begin after it.
    pub(crate) const fn taken(&self) -> Millis {
        self.taken
    }

    fn follow(&mut self, look: &Snapshot, version: u64) {
        let i = self.ways.iter().position(|(v, _)| *v == version);
        let way = i.and_then(|i| self.ways.remove(i)).unwrap_or_else(|| {
            let mut way = RollOut::new(version, look.ended, &[]);
            for host in self.known.keys() {
                way.listed(look.ended, host);
            }
            (version, way)
        });
        self.ways.push_back(way);
        if self.ways.len() > FOLLOWED {
            self.ways.pop_front();
        }
        for host in &look.hosts {
            self.known.insert(host.name.clone(), look.ended);
            self.each(|way| way.listed(look.ended, &host.name));
        }
    }

    /// Takes in what controllers say of themselves. The end of the look stands for the time of each
    /// question: no answer came later, and the next look that is taken in begins after it.
    fn direct(&mut self, look: &Snapshot) {
        for own in look.replies.iter().map(|r| &r.own) {
            self.known.insert(own.host.clone(), look.ended);
            self.each(|way| way.heard(look.ended, &own.host, own.instance, own.version));
        }
    }

    /// Takes in what controllers say of other processes.
    ///
    /// A heartbeat may have been on its way for any time, so it never shows that a controller has a
    /// version, only that a host which does not answer here lives without it.
    fn relayed(&mut self, look: &Snapshot) {
        let listed = |host: &HostName| look.hosts.iter().any(|h| h.name == *host);
        for ((host, role), (beat, silent)) in look.programs() {
            let known = self.known.contains_key(&host);
            if !known && !listed(&host) && is_outlived(silent) {
                continue;
            }
            let at = look.ended - silent;
            let life = self.known.entry(host.clone()).or_insert(at);
            let answered = look.replies.iter().any(|r| r.own.host == host);
            *life = at.max(*life);
            match role {
                Role::Gate => {
                    self.each(|way| way.heard_gate(at, &host, beat.instance, beat.version));
                }
                Role::Controller if !answered => self.each(|way| {
                    if beat.version < way.version() {
                        way.heard(at, &host, beat.instance, beat.version);
                    }
                }),
                _ => {}
            }
        }
    }

    /// Takes out the hosts that the list has no more and that are silent.
    fn unlisted(&mut self, look: &Snapshot) {
        if !look.listed {
            return;
        }
        let gone = self.known.iter().filter(|(host, at)| {
            let listed = look.hosts.iter().any(|h| h.name == **host);
            !listed && is_outlived(look.ended.since(**at))
        });
        let gone: Vec<HostName> = gone.map(|(host, _)| host.clone()).collect();
        for host in gone {
            self.known.remove(&host);
            self.each(|way| way.removed(&host));
        }
    }

    fn each(&mut self, mut take: impl FnMut(&mut RollOut)) {
        for (_, way) in &mut self.ways {
            take(way);
        }
    }
}

/// Tells whether a silence is longer than anything a host holds can be valid.
pub(crate) fn is_outlived(silent: Millis) -> bool {
    silent > RollOut::outlived(&Timing::STANDARD)
}
