//! What a host hears from the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use siphasher::sip::SipHasher13;

use crate::is_strong;

/// Hosts that are assumed where fewer are known: this many share the bounds on repeats and cold servers,
/// so a host that starts before it knows the others does not take their parts too.
const SHARING_HOSTS_MIN: usize = 8;

/// Age of a host's last heartbeat up to which it counts: three of them.
const HEARTBEAT_AGE_MAX: Millis = Millis(1_300);

/// Time for which a host that was heard of by its own heartbeat counts, though the store does not list it yet.
const UNLISTED_TIME_MAX: Millis = Millis(3_000);

/// Age of a host's last heartbeat up to which what it says of its reach and power counts: one and a half of them.
const REACH_AGE_MAX: Millis = Millis(600);

/// How many times as strong another host must be to lead in this one's place: each change of leaders holds changes of
/// keys up for a moment.
const SUCCESSOR_POWER_TIMES: u32 = 2;

/// Age of a host's last heartbeat up to which it schedules: two and a half of them. A lost host is found silent much
/// sooner by those that ask it, so this is only for those that nobody asks.
const SCHEDULER_AGE_MAX: Millis = Millis(1_000);

/// What a host says of itself.
#[derive(Clone, Debug, Default)]
pub struct HostState {
    /// Whether the store answers it.
    pub store: bool,
    /// Data centres whose servers answer it.
    pub reaches: BTreeSet<DcName>,
    /// Thousandths of a core that it has to lead with.
    pub power: u32,
    /// Whether it schedules requests for servers; one that stops does not.
    pub schedules: bool,
    /// Its data centre; `None` where it was not heard yet.
    pub dc: Option<DcName>,
    /// Whether it watches the store itself.
    pub watches: bool,
    /// Leaf hosts that follow it.
    pub leaves: u32,
}

/// The host that schedules the requests for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerHost {
    /// This one.
    Here,
    /// Another one, at this address.
    At(SocketAddr),
}

/// What was heard from a host.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) addr: SocketAddr,
    pub(crate) heard: Option<Millis>,
    pub(crate) said: HostState,
    /// When it last failed to relay what the store says.
    pub(crate) failed: Option<Millis>,
}

impl Peer {
    const fn at(addr: SocketAddr) -> Self {
        Self {
            addr,
            heard: None,
            said: HostState {
                store: false,
                reaches: BTreeSet::new(),
                power: 0,
                schedules: false,
                dc: None,
                watches: false,
                leaves: 0,
            },
            failed: None,
        }
    }

    /// Tells whether it was heard within `age`.
    pub(crate) fn is_heard(&self, now: Millis, age: Millis) -> bool {
        self.heard.is_some_and(|at| now.since(at) <= age)
    }
}

/// The other core hosts: those that the store lists, exchange heartbeats, schedule and may lead.
#[derive(Debug, Default)]
pub struct Peers {
    pub(crate) hosts: BTreeMap<HostName, Peer>,
    /// The most hosts known so far, leaf hosts and this one included.
    most: usize,
    /// Highest term of leadership heard of, and its leader.
    term: u64,
    pub(crate) leader: Option<HostName>,
    /// When the leader was last heard of, by itself.
    leader_heard: Option<Millis>,
}

impl Peers {
    /// Takes in the hosts that are registered, without this one.
    pub fn set(&mut self, now: Millis, hosts: Vec<(HostName, SocketAddr)>) {
        let old = std::mem::take(&mut self.hosts);
        for (name, addr) in hosts {
            let peer = match old.get(&name) {
                Some(known) => Peer {
                    addr,
                    ..known.clone()
                },
                None => Peer::at(addr),
            };
            self.hosts.insert(name, peer);
        }
        let unlisted = old
            .into_iter()
            .filter(|(_, p)| p.is_heard(now, UNLISTED_TIME_MAX));
        for (name, peer) in unlisted {
            self.hosts.entry(name).or_insert(peer);
        }
        self.count(self.hosts.len() + 1);
    }

    /// Takes in that there are so many hosts, leaf hosts included.
    pub fn count(&mut self, hosts: usize) {
        self.most = self.most.max(hosts);
    }

    /// Returns the number of hosts known to be there: core hosts, and the leaf hosts that follow them, of which
    /// `own` follow this one.
    #[must_use]
    pub fn all_hosts(&self, now: Millis, own: u32) -> usize {
        let heard = self
            .hosts
            .values()
            .filter(|p| p.is_heard(now, HEARTBEAT_AGE_MAX));
        let leaves: u32 = heard.map(|p| p.said.leaves).sum();
        self.hosts.len() + 1 + (leaves + own) as usize
    }

    /// Returns the number of hosts among which a bound over all of them is shared: the most ever known,
    /// since one that went silent may still send.
    #[must_use]
    pub fn sharing(&self) -> usize {
        self.most.max(SHARING_HOSTS_MIN)
    }

    /// Returns the number of core hosts, this one included.
    #[must_use]
    pub fn schedulers_count(&self) -> usize {
        self.hosts.len() + 1
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

    /// Draws the host that schedules the requests for what `name` names, where this host is `own`. Where `dc` has
    /// strong hosts, one of them is drawn: it is lost only with what it schedules for, and reached wherever that is.
    ///
    /// Load: thousands of requests a second, of which each asks for a server; one host alone would be late for all.
    /// Drawn by weighted rendezvous, each host has a part by its strength, and a host that comes or goes moves
    /// only its own part. Hosts agree as far as they hear the same others; where they don't, a server has two
    /// schedulers for as long, and its own queue takes what is too much.
    #[must_use]
    pub fn scheduler(
        &self,
        now: Millis,
        own: (&HostName, &HostState),
        dc: Option<&DcName>,
        name: &impl Hash,
    ) -> SchedulerHost {
        let (own_name, own_said) = own;
        let others = self.schedulers(now).map(|(host, p)| {
            let scheduler = SchedulerHost::At(p.addr);
            (host, &p.said, scheduler)
        });
        let own = (own_name, own_said, SchedulerHost::Here);
        let own = own_said.schedules.then_some(own);
        let scored = others.chain(own).map(|(host, said, scheduler)| {
            let near = dc.is_some() && said.dc.as_ref() == dc && is_strong(said.power);
            ((near, score(host, said.power, name)), scheduler)
        });
        let most = scored.max_by(|((a_near, a), _), ((b_near, b), _)| {
            a_near.cmp(b_near).then_with(|| a.total_cmp(b))
        });
        most.map_or(SchedulerHost::Here, |(_, scheduler)| scheduler)
    }

    /// Returns a mark of the hosts that schedule, which changes when one comes, goes or changes its strength.
    #[must_use]
    pub fn schedulers_mark(&self, now: Millis) -> u64 {
        let mut hasher = SipHasher13::new();
        for (host, peer) in self.schedulers(now) {
            (host, peer.said.power).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Iterates over the other hosts that schedule.
    pub(crate) fn schedulers(&self, now: Millis) -> impl Iterator<Item = (&HostName, &Peer)> {
        let hosts = self.hosts.iter();
        hosts.filter(move |(_, p)| p.said.schedules && p.is_heard(now, SCHEDULER_AGE_MAX))
    }

    /// Takes in that a host did not answer: it counts as not heard until its next heartbeat.
    pub fn silent(&mut self, addr: SocketAddr) {
        for peer in self.hosts.values_mut().filter(|p| p.addr == addr) {
            peer.heard = None;
        }
    }

    /// Takes in what a host at `addr` says of itself. One that the store does not list yet is heard all the same:
    /// hosts that start together would else not know each other until the list came round.
    pub fn heard(&mut self, now: Millis, host: &HostName, addr: SocketAddr, said: HostState) {
        let peer = self.hosts.entry(host.clone());
        let peer = peer.or_insert_with(|| Peer::at(addr));
        peer.addr = addr;
        peer.heard = Some(now);
        peer.said = said;
        self.count(self.hosts.len() + 1);
    }

    /// Tells whether another host, which the store answers, reaches `more` and all of `mine`.
    #[must_use]
    pub fn reaches_all(&self, now: Millis, mine: &BTreeSet<DcName>, more: &DcName) -> bool {
        let all =
            |p: &HostState| p.store && p.reaches.contains(more) && p.reaches.is_superset(mine);
        self.lately(now).any(all)
    }

    /// Tells whether another host reaches more data centres than `mine`.
    #[must_use]
    pub fn reach_more(&self, now: Millis, mine: &BTreeSet<DcName>) -> bool {
        self.lately(now).any(|p| p.reaches.len() > mine.len())
    }

    /// Tells whether another host, which the store answers and which reaches all of `mine`, is so much stronger
    /// than one with `power` that it should lead. One that reaches less would soon make way again.
    #[must_use]
    pub fn stronger(&self, now: Millis, power: u32, mine: &BTreeSet<DcName>) -> bool {
        let fit = |p: &HostState| {
            let strong = p.power >= power.saturating_mul(SUCCESSOR_POWER_TIMES);
            p.store && strong && p.reaches.is_superset(mine)
        };
        self.lately(now).any(fit)
    }

    /// Iterates over what hosts said of themselves a moment ago.
    pub(crate) fn lately(&self, now: Millis) -> impl Iterator<Item = &HostState> {
        let hosts = self.hosts.values();
        let fresh = hosts.filter(move |p| p.is_heard(now, REACH_AGE_MAX));
        fresh.map(|p| &p.said)
    }

    /// Tells whether every other host was heard lately and says that the store is away. A host that was not
    /// heard may have it.
    #[must_use]
    pub fn all_lost_store(&self, now: Millis) -> bool {
        let lost = |p: &Peer| !p.said.store && p.is_heard(now, HEARTBEAT_AGE_MAX);
        self.hosts.values().all(lost)
    }

    /// Takes in a heartbeat of the leader itself.
    pub fn heard_leader(&mut self, now: Millis) {
        self.leader_heard = self.leader_heard.max(Some(now));
    }

    /// Tells whether a leader was heard within `age`.
    #[must_use]
    pub fn hears_leader(&self, now: Millis, age: Millis) -> bool {
        self.leader_heard.is_some_and(|at| now.since(at) <= age)
    }

    /// Returns the time since a leader was heard.
    #[must_use]
    pub fn leader_age(&self, now: Millis) -> Option<Millis> {
        self.leader_heard.map(|at| now.since(at))
    }

    /// Returns the leader, where its name is known.
    #[must_use]
    pub const fn leader(&self) -> Option<&HostName> {
        self.leader.as_ref()
    }

    /// Iterates over the other hosts that were heard lately, with what they said of themselves.
    pub fn heard_lately(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (&HostName, SocketAddr, &HostState)> {
        let hosts = self.hosts.iter();
        let heard = hosts.filter(move |(_, p)| p.is_heard(now, SCHEDULER_AGE_MAX));
        heard.map(|(name, p)| (name, p.addr, &p.said))
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
        let heard = self.hosts.values().filter(|p| p.is_heard(now, age));
        let heard = heard.count() + 1;
        heard * 2 > self.hosts.len() + 1
    }
}

/// Returns a host's score for a name: the highest of all is drawn with a chance in proportion to its power.
pub(crate) fn score(host: &HostName, power: u32, name: &impl Hash) -> f64 {
    let mut hasher = SipHasher13::new();
    host.hash(&mut hasher);
    name.hash(&mut hasher);
    // The upper 53 bits as a number above 0 and below 1.
    let unit = ((hasher.finish() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(power.max(1)) / unit.ln()
}
