//! Selection of the hosts that schedule requests and renew key leases.

use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use siphasher::sip::SipHasher13;

use crate::HostState;
use crate::Peers;
use crate::is_strong;
use crate::peers::Peer;

/// Maximum age of a host's last heartbeat for the host to count as a scheduler: two and a half heartbeat
/// intervals. Hosts that send slot queries to a lost scheduler detect the loss much sooner, so this limit matters
/// only for a scheduler that receives no queries.
pub(crate) const SCHEDULER_AGE_MAX: Millis = Millis(1_000);

/// Host that schedules the requests for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerHost {
    /// This host.
    Here,
    /// Another host, at this address.
    At(SocketAddr),
}

impl Peers {
    /// Selects the host that schedules the requests for `name`; `own` is this host. If `dc` has strong hosts, one
    /// of them is selected: such a host is lost only together with the servers that it schedules for, and whoever
    /// reaches the servers also reaches the host.
    ///
    /// There are thousands of requests a second, and each needs a server; a single scheduling host would delay
    /// all of them. Weighted rendezvous hashing gives each host a share in proportion to its power, and a host
    /// that joins or leaves moves only its own share. Hosts agree as far as they see the same other hosts. While
    /// they do not, a server has two schedulers, and its own queue absorbs the excess requests. If no host
    /// schedules, this one does.
    #[must_use]
    pub fn scheduler(
        &self,
        now: Millis,
        own: (&HostName, &HostState),
        dc: Option<&DcName>,
        name: &impl Hash,
    ) -> SchedulerHost {
        let (own_name, own_state) = own;
        let others = self.schedulers(now).map(|(host, p)| {
            let scheduler = SchedulerHost::At(p.addr);
            (host, &p.state, scheduler)
        });
        let own = (own_name, own_state, SchedulerHost::Here);
        let own = own_state.schedules.then_some(own);
        select_by_score(others.chain(own), dc, name).unwrap_or(SchedulerHost::Here)
    }

    /// Returns the fraction of the known core hosts that this host sees: itself and those that schedule, or 0 if this host
    /// does not schedule for others.
    ///
    /// A limit over all hosts that a scheduler may not exceed is multiplied with it. Hosts that can't see each other
    /// select a scheduler each; groups of them have no host in common, so their fractions add up to 1 at most.
    #[must_use]
    pub fn visible_share(&self, now: Millis, schedules: bool) -> f64 {
        if !schedules {
            return 0.0;
        }
        let seen = self.schedulers(now).count() + 1;
        seen as f64 / self.core_host_count() as f64
    }

    /// Returns a hash of the other hosts that schedule, which changes when one joins, leaves or changes its
    /// power.
    #[must_use]
    pub fn schedulers_hash(&self, now: Millis) -> u64 {
        let mut hasher = SipHasher13::new();
        for (host, peer) in self.schedulers(now) {
            (host, peer.state.power).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Iterates over the other hosts that schedule.
    pub(crate) fn schedulers(&self, now: Millis) -> impl Iterator<Item = (&HostName, &Peer)> {
        let hosts = self.hosts.iter();
        hosts.filter(move |(_, p)| p.state.schedules && p.seen_within(now, SCHEDULER_AGE_MAX))
    }
}

/// Selects the host that renews the key leases of a server by weighted rendezvous hashing of `name`; if the server's data
/// centre `dc` has strong hosts, one of them.
#[must_use]
pub fn select_renewer<'a>(
    hosts: impl Iterator<Item = (&'a HostName, &'a HostState)>,
    dc: &DcName,
    name: &impl Hash,
) -> Option<&'a HostName> {
    let hosts = hosts.map(|(host, state)| (host, state, host));
    select_by_score(hosts, Some(dc), name)
}

/// Selects the value of the host with the highest weighted rendezvous score for `name`; if `dc` has strong hosts, one of
/// them.
fn select_by_score<'a, T>(
    hosts: impl Iterator<Item = (&'a HostName, &'a HostState, T)>,
    dc: Option<&DcName>,
    name: &impl Hash,
) -> Option<T> {
    let scored = hosts.map(|(host, state, value)| {
        let preferred = dc.is_some() && state.dc.as_ref() == dc && is_strong(state.power);
        (preferred, rendezvous_score(host, state.power, name), value)
    });
    let highest = scored.max_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.total_cmp(&b.1)));
    highest.map(|(_, _, value)| value)
}

/// Returns a host's weighted rendezvous score for a name. The probability that a host has the highest score is in
/// proportion to its power.
pub(crate) fn rendezvous_score(host: &HostName, power: u32, name: &impl Hash) -> f64 {
    let mut hasher = SipHasher13::new();
    host.hash(&mut hasher);
    name.hash(&mut hasher);
    // Maps the upper 53 bits to a number between 0 and 1, both excluded.
    let fraction = ((hasher.finish() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(power.max(1)) / fraction.ln()
}
