//! State of the other core hosts, as received in their heartbeats.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;

use crate::HostState;
use crate::scheduler_choice::SCHEDULER_AGE_MAX;

/// Minimum number of hosts assumed to share global limits, such as those on retries and on requests to servers
/// that are warming up. Without it, a host that has just started and does not know the others would use their
/// shares too.
const SHARING_HOSTS_MIN: usize = 8;

/// Maximum age of a host's last heartbeat for the host to count as alive: three heartbeat intervals.
const HEARTBEAT_AGE_MAX: Millis = Millis(1_300);

/// Maximum age of a host's last heartbeat for the host to be kept although the store does not list it.
const UNLISTED_AGE_MAX: Millis = Millis(3_000);

/// Maximum age of a heartbeat for the reachable data centres and the power in it to count: one and a half
/// heartbeat intervals.
const REACH_AGE_MAX: Millis = Millis(600);

/// Minimum ratio of another host's power to this one's for the other to lead instead. Each change of leader
/// delays key changes for a moment.
const SUCCESSOR_POWER_FACTOR: u32 = 2;

/// Another core host and the last state received from it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) addr: SocketAddr,
    /// Time of the last heartbeat; `None` if there was none or the host did not answer a call since.
    pub(crate) last_seen: Option<Millis>,
    pub(crate) state: HostState,
    /// Time of the host's last failure to relay the content of the store.
    pub(crate) relay_failed_at: Option<Millis>,
}

impl Peer {
    const fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            last_seen: None,
            state: HostState {
                store_reachable: false,
                reachable_dcs: BTreeSet::new(),
                power: 0,
                schedules: false,
                dc: None,
                watches: false,
                leaf_hosts: 0,
            },
            relay_failed_at: None,
        }
    }

    /// Returns `true` if the last heartbeat is at most `age` old.
    pub(crate) fn seen_within(&self, now: Millis, age: Millis) -> bool {
        self.last_seen.is_some_and(|at| now.since(at) <= age)
    }
}

/// Other core hosts: those that the store lists, and those that it does not list but that send heartbeats.
#[derive(Debug, Default)]
pub struct Peers {
    pub(crate) hosts: BTreeMap<HostName, Peer>,
    /// Highest number of hosts known so far, including leaf hosts and this host.
    hosts_max: usize,
    /// Highest term of leadership seen so far; `leader` is the leader of that term, if known.
    term: u64,
    pub(crate) leader: Option<HostName>,
    /// Time of the last heartbeat that a leader itself sent.
    leader_seen: Option<Millis>,
}

impl Peers {
    /// Replaces the hosts with those listed in the store, without this one. Unlisted hosts with a heartbeat
    /// in the last 3 s are kept.
    pub fn set_listed(&mut self, now: Millis, hosts: Vec<(HostName, SocketAddr)>) {
        let old = std::mem::take(&mut self.hosts);
        for (name, addr) in hosts {
            let peer = match old.get(&name) {
                Some(known) => Peer {
                    addr,
                    ..known.clone()
                },
                None => Peer::new(addr),
            };
            self.hosts.insert(name, peer);
        }
        let unlisted = old
            .into_iter()
            .filter(|(_, p)| p.seen_within(now, UNLISTED_AGE_MAX));
        for (name, peer) in unlisted {
            self.hosts.entry(name).or_insert(peer);
        }
        self.update_max_hosts(self.hosts.len() + 1);
    }

    /// Raises the highest known number of hosts to `hosts`, which includes leaf hosts.
    pub fn update_max_hosts(&mut self, hosts: usize) {
        self.hosts_max = self.hosts_max.max(hosts);
    }

    /// Returns the number of known hosts: the core hosts including this one, and the leaf hosts that follow them,
    /// `own_leaf_hosts` of which follow this host.
    #[must_use]
    pub fn host_count(&self, now: Millis, own_leaf_hosts: u32) -> usize {
        let recent = self
            .hosts
            .values()
            .filter(|p| p.seen_within(now, HEARTBEAT_AGE_MAX));
        let leaf_hosts: u32 = recent.map(|p| p.state.leaf_hosts).sum();
        self.hosts.len() + 1 + (leaf_hosts + own_leaf_hosts) as usize
    }

    /// Returns the number of hosts that share a global limit: the highest number ever known, since a host without
    /// heartbeats may still send requests, but at least `SHARING_HOSTS_MIN`.
    #[must_use]
    pub fn sharing_hosts(&self) -> usize {
        self.hosts_max.max(SHARING_HOSTS_MIN)
    }

    /// Returns the number of core hosts, including this one.
    #[must_use]
    pub fn core_host_count(&self) -> usize {
        self.hosts.len() + 1
    }

    /// Returns the data centre of another core host, if it is known.
    #[must_use]
    pub fn dc_of(&self, host: &HostName) -> Option<&DcName> {
        self.hosts.get(host)?.state.dc.as_ref()
    }

    /// Iterates over the names of the other core hosts.
    pub fn names(&self) -> impl Iterator<Item = &HostName> {
        self.hosts.keys()
    }

    /// Returns the addresses of the other core hosts, whether alive or not.
    #[must_use]
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.hosts.values().map(|p| p.addr).collect()
    }

    /// Returns the address of the leader, if the leader is known and is another host.
    #[must_use]
    pub fn leader_addr(&self) -> Option<SocketAddr> {
        let leader = self.leader.as_ref()?;
        self.hosts.get(leader).map(|p| p.addr)
    }

    /// Records that the host at `addr` did not answer: the host counts as lost until its next heartbeat.
    pub fn mark_unreachable(&mut self, addr: SocketAddr) {
        for peer in self.hosts.values_mut().filter(|p| p.addr == addr) {
            peer.last_seen = None;
        }
    }

    /// Records the state that a host at `addr` advertises. The host counts even if the store does not list it
    /// yet; otherwise hosts that start together would not know each other until the list is next read.
    pub fn record_heartbeat(
        &mut self,
        now: Millis,
        host: &HostName,
        addr: SocketAddr,
        state: HostState,
    ) {
        let peer = self.hosts.entry(host.clone());
        let peer = peer.or_insert_with(|| Peer::new(addr));
        peer.addr = addr;
        peer.last_seen = Some(now);
        peer.state = state;
        self.update_max_hosts(self.hosts.len() + 1);
    }

    /// Returns `true` if another host that the store answers reaches `dc` and all of `own_dcs`.
    #[must_use]
    pub fn any_reaches_all(&self, now: Millis, own_dcs: &BTreeSet<DcName>, dc: &DcName) -> bool {
        let reaches_all = |p: &HostState| {
            p.store_reachable
                && p.reachable_dcs.contains(dc)
                && p.reachable_dcs.is_superset(own_dcs)
        };
        self.recent_states(now).any(reaches_all)
    }

    /// Returns `true` if another host reaches more data centres than there are in `own_dcs`.
    #[must_use]
    pub fn any_reaches_more(&self, now: Millis, own_dcs: &BTreeSet<DcName>) -> bool {
        self.recent_states(now)
            .any(|p| p.reachable_dcs.len() > own_dcs.len())
    }

    /// Returns `true` if another host should lead: one with at least twice `power` that the store answers and
    /// that reaches all of `own_dcs`. A host that reaches fewer data centres would soon have to step down again.
    #[must_use]
    pub fn has_stronger_peer(&self, now: Millis, power: u32, own_dcs: &BTreeSet<DcName>) -> bool {
        let can_lead = |p: &HostState| {
            let strong = p.power >= power.saturating_mul(SUCCESSOR_POWER_FACTOR);
            p.store_reachable && strong && p.reachable_dcs.is_superset(own_dcs)
        };
        self.recent_states(now).any(can_lead)
    }

    /// Iterates over the states of hosts whose last heartbeat is recent enough for their reachable data
    /// centres to count.
    pub(crate) fn recent_states(&self, now: Millis) -> impl Iterator<Item = &HostState> {
        let hosts = self.hosts.values();
        let recent = hosts.filter(move |p| p.seen_within(now, REACH_AGE_MAX));
        recent.map(|p| &p.state)
    }

    /// Records that a leader itself sent a heartbeat.
    pub fn record_leader_seen(&mut self, now: Millis) {
        self.leader_seen = self.leader_seen.max(Some(now));
    }

    /// Returns `true` if the last heartbeat that a leader itself sent is at most `age` old.
    #[must_use]
    pub fn leader_seen_within(&self, now: Millis, age: Millis) -> bool {
        self.leader_seen.is_some_and(|at| now.since(at) <= age)
    }

    /// Returns the age of the last heartbeat that a leader itself sent, if any.
    #[must_use]
    pub fn leader_age(&self, now: Millis) -> Option<Millis> {
        self.leader_seen.map(|at| now.since(at))
    }

    /// Returns the name of the leader, if known.
    #[must_use]
    pub const fn leader(&self) -> Option<&HostName> {
        self.leader.as_ref()
    }

    /// Iterates over the other hosts with a recent heartbeat: name, address and advertised state.
    pub fn recent_peers(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (&HostName, SocketAddr, &HostState)> {
        let hosts = self.hosts.iter();
        let recent = hosts.filter(move |(_, p)| p.seen_within(now, SCHEDULER_AGE_MAX));
        recent.map(|(name, p)| (name, p.addr, &p.state))
    }

    /// Records a term of leadership with its leader, if known. Returns `true` if the term is higher than
    /// any before; ignores lower terms.
    pub fn observe_term(&mut self, term: u64, leader: Option<&HostName>) -> bool {
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

    /// Returns the highest term of leadership seen so far.
    #[must_use]
    pub const fn highest_term(&self) -> u64 {
        self.term
    }
}
