//! What a host hears from the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;

/// Hosts that are assumed where fewer are known: this many share the bounds on repeats and cold servers,
/// so a host that starts before it knows the others does not take their parts too.
const FEWEST: usize = 8;

/// Age of a host's last word up to which it counts: three of the words that hosts send.
const LATELY: Millis = Millis(1_300);

/// Age of a host's last word up to which what it says of its reach counts: one word and a half.
const REACH_AGE: Millis = Millis(600);

/// What was heard from a host.
#[derive(Clone, Debug)]
struct Peer {
    addr: SocketAddr,
    heard: Option<Millis>,
    /// Whether the store answers it, by its own word.
    store: bool,
    /// Data centres whose servers answer it, by its own word.
    reaches: BTreeSet<DcName>,
}

/// The other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    hosts: BTreeMap<HostName, Peer>,
    /// The most hosts known so far, this one included.
    most: usize,
    /// Highest term of leadership heard of, and its leader.
    term: u64,
    leader: Option<HostName>,
    /// When the leader was last heard of, by itself.
    leader_heard: Option<Millis>,
}

impl Peers {
    /// Takes in the hosts that are registered, without this one.
    pub fn set(&mut self, hosts: Vec<(HostName, SocketAddr)>) {
        let old = std::mem::take(&mut self.hosts);
        for (name, addr) in hosts {
            let known = old.get(&name);
            let peer = Peer {
                addr,
                heard: known.and_then(|p| p.heard),
                store: known.is_none_or(|p| p.store),
                reaches: known.map(|p| p.reaches.clone()).unwrap_or_default(),
            };
            self.hosts.insert(name, peer);
        }
        self.most = self.most.max(self.hosts.len() + 1);
    }

    /// Returns the number of hosts among which a bound over all of them is shared: the most ever known,
    /// since one that went silent may still send.
    #[must_use]
    pub fn sharing(&self) -> usize {
        self.most.max(FEWEST)
    }

    /// Returns the addresses of the others.
    #[must_use]
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.hosts.values().map(|p| p.addr).collect()
    }

    /// Returns the address of the leader, where it is another host.
    #[must_use]
    pub fn leader_addr(&self) -> Option<SocketAddr> {
        let leader = self.leader.as_ref()?;
        self.hosts.get(leader).map(|p| p.addr)
    }

    /// Takes in that a host was heard, and whether the store answers it.
    pub fn heard(&mut self, now: Millis, host: &HostName, store: bool) {
        if let Some(peer) = self.hosts.get_mut(host) {
            peer.heard = Some(now);
            peer.store = store;
        }
    }

    /// Takes in which data centres a host reaches.
    pub fn heard_reach(&mut self, host: &HostName, reaches: BTreeSet<DcName>) {
        if let Some(peer) = self.hosts.get_mut(host) {
            peer.reaches = reaches;
        }
    }

    /// Tells whether another host, which the store answers, reaches `more` and all of `mine`.
    #[must_use]
    pub fn reaches_all(&self, now: Millis, mine: &BTreeSet<DcName>, more: &DcName) -> bool {
        let all = |p: &Peer| p.store && p.reaches.contains(more) && p.reaches.is_superset(mine);
        self.lately(now).any(all)
    }

    /// Tells whether another host reaches more data centres than `mine`.
    #[must_use]
    pub fn reach_more(&self, now: Millis, mine: &BTreeSet<DcName>) -> bool {
        self.lately(now).any(|p| p.reaches.len() > mine.len())
    }

    /// Iterates over the hosts whose word on their reach is fresh.
    fn lately(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let fresh = move |p: &&Peer| p.heard.is_some_and(|at| now.since(at) <= REACH_AGE);
        self.hosts.values().filter(fresh)
    }

    /// Tells whether every other host was heard lately and says that the store is away. A host that was not
    /// heard may have it.
    #[must_use]
    pub fn all_lost_store(&self, now: Millis) -> bool {
        let lost = |p: &Peer| !p.store && p.heard.is_some_and(|at| now.since(at) <= LATELY);
        self.hosts.values().all(lost)
    }

    /// Takes in a word of the leader itself.
    pub fn heard_leader(&mut self, now: Millis) {
        self.leader_heard = Some(now);
    }

    /// Tells whether a leader was heard within `age`, so that its desk is at work.
    #[must_use]
    pub fn hears_leader(&self, now: Millis, age: Millis) -> bool {
        self.leader_heard.is_some_and(|at| now.since(at) <= age)
    }

    /// Takes in a term of leadership; tells whether it is the highest so far.
    pub fn term(&mut self, term: u64, leader: Option<&HostName>) -> bool {
        if term < self.term {
            return false;
        }
        let new = term > self.term;
        self.term = term;
        if let Some(leader) = leader {
            self.leader = Some(leader.clone());
        } else if new {
            self.leader = None;
        }
        new
    }

    /// Returns the highest term of leadership heard of.
    #[must_use]
    pub const fn highest_term(&self) -> u64 {
        self.term
    }

    /// Tells whether more than half of all hosts, this one included, were heard within `age`.
    #[must_use]
    pub fn hears_most(&self, now: Millis, age: Millis) -> bool {
        let fresh = |p: &&Peer| p.heard.is_some_and(|at| now.since(at) <= age);
        let heard = self.hosts.values().filter(fresh).count() + 1;
        heard * 2 > self.hosts.len() + 1
    }
}
