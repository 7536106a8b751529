//! Which hosts watch the store, and from whom the others hear what it says.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;

use crate::HostState;
use crate::Peers;
use crate::peers::Peer;
use crate::peers::score;

/// Hosts that watch the store at a time. Each change in the store costs a call of each; with two in different data
/// centres, one may be lost with its data centre at any moment. Where both are lost, others watch within a second.
const WATCHERS_MAX: usize = 2;

/// Time for which a host that failed to relay is passed over.
const RELAY_FAILURE_PAUSE: Millis = Millis(1_000);

/// Names the draw of a relay.
const RELAY_DRAW: &str = "relay";

/// What is weighed of a candidate for watching the store.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    name: &'a HostName,
    said: &'a HostState,
}

impl Candidate<'_> {
    /// Orders the leader first, since it acts on what the store says, then the strong.
    fn rank(&self, leader: Option<&HostName>) -> (bool, u32) {
        (leader == Some(self.name), self.said.power)
    }
}

impl Peers {
    /// Tells whether this host, a core host that is `own`, is among those that watch the store.
    ///
    /// Hosts agree as far as they hear the same others; where they don't, one watches too many for a while. A host
    /// that the store turns away is passed over, unless none is answered: then all go on as they were ranked.
    #[must_use]
    pub fn should_watch(&self, now: Millis, own: (&HostName, &HostState)) -> bool {
        let (name, said) = own;
        let others = self.schedulers(now).map(|(name, peer)| Candidate {
            name,
            said: &peer.said,
        });
        let mut all: Vec<Candidate<'_>> = others.chain([Candidate { name, said }]).collect();
        if all.iter().any(|c| c.said.store) {
            all.retain(|c| c.said.store);
        }
        let leader = self.leader.as_ref();
        all.sort_by(|a, b| {
            let by_rank = b.rank(leader).cmp(&a.rank(leader));
            by_rank.then_with(|| a.name.cmp(b.name))
        });
        chosen(&all).contains(&name)
    }

    /// Returns the host from which a core host hears what the store says: one that watches it, in the same data
    /// centre where there is one.
    #[must_use]
    pub fn watcher_for(&self, now: Millis, name: &HostName, dc: &DcName) -> Option<SocketAddr> {
        let watchers = self.schedulers(now);
        self.draw_relay(now, name, dc, watchers.filter(|(_, p)| p.said.watches))
    }

    /// Returns the core host that a leaf host follows: one that was heard, or any that the store lists while none
    /// was.
    #[must_use]
    pub fn core_for(&self, now: Millis, name: &HostName, dc: &DcName) -> Option<SocketAddr> {
        let heard = self.draw_relay(now, name, dc, self.schedulers(now));
        heard.or_else(|| self.draw_relay(now, name, dc, self.hosts.iter()))
    }

    /// Takes in that a host failed to relay.
    pub fn relay_failed(&mut self, now: Millis, addr: SocketAddr) {
        for peer in self.hosts.values_mut().filter(|p| p.addr == addr) {
            peer.failed = Some(now);
        }
    }

    /// Draws a relay for a host: one that the store answers before others, one in its data centre before others,
    /// and among these by strength.
    fn draw_relay<'a>(
        &self,
        now: Millis,
        name: &HostName,
        dc: &DcName,
        from: impl Iterator<Item = (&'a HostName, &'a Peer)>,
    ) -> Option<SocketAddr> {
        let failed = |p: &Peer| {
            p.failed
                .is_some_and(|at| now.since(at) <= RELAY_FAILURE_PAUSE)
        };
        let sound = from.filter(|(_, p)| !failed(p));
        let ranked = sound.map(|(host, p)| {
            let near = p.said.dc.as_ref() == Some(dc);
            let drawn = score(host, p.said.power, &(RELAY_DRAW, name));
            ((p.said.store, near, drawn), p.addr)
        });
        let best = ranked.max_by(|(a, _), (b, _)| {
            let by_class = (a.0, a.1).cmp(&(b.0, b.1));
            by_class.then_with(|| a.2.total_cmp(&b.2))
        });
        best.map(|(_, addr)| addr)
    }
}

/// Chooses the watchers from hosts in the order of their rank: from different data centres first.
fn chosen<'a>(ranked: &[Candidate<'a>]) -> Vec<&'a HostName> {
    let mut dcs = BTreeSet::new();
    let hosts = ranked.iter().copied();
    let (first, rest): (Vec<Candidate<'a>>, Vec<Candidate<'a>>) =
        hosts.partition(|c| dcs.insert(c.said.dc.as_ref()));
    let spread = first.into_iter().chain(rest);
    spread.take(WATCHERS_MAX).map(|c| c.name).collect()
}
