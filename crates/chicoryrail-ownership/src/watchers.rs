//! Selection of the hosts that watch the store and of the hosts that relay its content to others.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;

use crate::HostState;
use crate::Peers;
use crate::peers::Peer;
use crate::scheduler_choice::rendezvous_score;

/// Number of hosts that watch the store at the same time. Each change in the store costs a call to each of them.
/// Two in different data centres suffice: if one is lost with its data centre, the other still watches, and if
/// both are lost, others take over within a second.
const WATCHERS_MAX: usize = 2;

/// Time for which a host that failed to relay is not selected again.
const RELAY_FAILURE_PAUSE: Millis = Millis(1_000);

/// Tag in the rendezvous hash that selects a relay.
const RELAY_HASH_TAG: &str = "relay";

/// Candidate for watching the store.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    name: &'a HostName,
    state: &'a HostState,
}

impl Candidate<'_> {
    /// Returns the sort key: the leader first, since it acts on the content of the store, then by power.
    fn sort_key(&self, leader: Option<&HostName>) -> (bool, u32) {
        (leader == Some(self.name), self.state.power)
    }
}

impl Peers {
    /// Returns `true` if this core host, `own`, is one of the hosts that watch the store.
    ///
    /// Hosts agree as far as they see the same other hosts; otherwise too many watch for a while. Hosts
    /// that the store does not answer are skipped, unless it answers none of them.
    #[must_use]
    pub fn should_watch(&self, now: Millis, own: (&HostName, &HostState)) -> bool {
        let (name, state) = own;
        let others = self.schedulers(now).map(|(name, peer)| Candidate {
            name,
            state: &peer.state,
        });
        let mut all: Vec<Candidate<'_>> = others.chain([Candidate { name, state }]).collect();
        if all.iter().any(|c| c.state.store_reachable) {
            all.retain(|c| c.state.store_reachable);
        }
        let leader = self.leader.as_ref();
        all.sort_by(|a, b| {
            let by_key = b.sort_key(leader).cmp(&a.sort_key(leader));
            by_key.then_with(|| a.name.cmp(b.name))
        });
        select_watchers(&all).contains(&name)
    }

    /// Returns the address of a watching host from which a core host receives the content of the store; one
    /// in the same data centre if possible.
    #[must_use]
    pub fn select_watcher(&self, now: Millis, name: &HostName, dc: &DcName) -> Option<SocketAddr> {
        let watchers = self.schedulers(now);
        self.select_relay(now, name, dc, watchers.filter(|(_, p)| p.state.watches))
    }

    /// Returns the address of the core host that a leaf host follows: one with a recent heartbeat, or any
    /// listed host if there is none.
    #[must_use]
    pub fn select_core_host(
        &self,
        now: Millis,
        name: &HostName,
        dc: &DcName,
    ) -> Option<SocketAddr> {
        let recent = self.select_relay(now, name, dc, self.schedulers(now));
        recent.or_else(|| self.select_relay(now, name, dc, self.hosts.iter()))
    }

    /// Records that a host failed to relay.
    pub fn record_relay_failure(&mut self, now: Millis, addr: SocketAddr) {
        for peer in self.hosts.values_mut().filter(|p| p.addr == addr) {
            peer.relay_failed_at = Some(now);
        }
    }

    /// Selects a relay for a host: preferably one that the store answers, then one in the same data centre, then
    /// the one with the highest weighted rendezvous score. Hosts that failed to relay in the last second are left
    /// out.
    fn select_relay<'a>(
        &self,
        now: Millis,
        name: &HostName,
        dc: &DcName,
        candidates: impl Iterator<Item = (&'a HostName, &'a Peer)>,
    ) -> Option<SocketAddr> {
        let failed = |p: &Peer| {
            p.relay_failed_at
                .is_some_and(|at| now.since(at) <= RELAY_FAILURE_PAUSE)
        };
        let usable = candidates.filter(|(_, p)| !failed(p));
        let scored = usable.map(|(host, p)| {
            let in_dc = p.state.dc.as_ref() == Some(dc);
            let score = rendezvous_score(host, p.state.power, &(RELAY_HASH_TAG, name));
            ((p.state.store_reachable, in_dc, score), p.addr)
        });
        let best = scored.max_by(|(a, _), (b, _)| {
            let by_class = (a.0, a.1).cmp(&(b.0, b.1));
            by_class.then_with(|| a.2.total_cmp(&b.2))
        });
        best.map(|(_, addr)| addr)
    }
}

/// Selects the watchers from hosts in sort order, from different data centres first.
fn select_watchers<'a>(sorted: &[Candidate<'a>]) -> Vec<&'a HostName> {
    let mut dcs = BTreeSet::new();
    let hosts = sorted.iter().copied();
    let (first, rest): (Vec<Candidate<'a>>, Vec<Candidate<'a>>) =
        hosts.partition(|c| dcs.insert(c.state.dc.as_ref()));
    let spread = first.into_iter().chain(rest);
    spread.take(WATCHERS_MAX).map(|c| c.name).collect()
}
