//! Hosts whose support counts in a term.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use serde::Deserialize;
use serde::Serialize;

/// Core hosts whose support counts in a term, each with a number of votes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Voters(BTreeMap<HostName, Voter>);

/// Address and weight of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Voter {
    addr: SocketAddr,
    votes: u32,
}

/// Core host that may vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterCandidate {
    /// Name.
    pub host: HostName,
    /// Address for messages from other hosts.
    pub addr: SocketAddr,
    /// Data centre; `None` if it is not known.
    pub dc: Option<DcName>,
}

impl Voters {
    /// Distributes the votes over the core hosts.
    ///
    /// Each has one vote, unless a data centre has more hosts than all others together. Then the votes of both are the
    /// same in total: whichever data centre is cut off or lost, the others hold half of the votes at least, and a leader
    /// among them need not wait for it.
    #[must_use]
    pub fn select(candidates: Vec<VoterCandidate>) -> Self {
        let mut by_dc: BTreeMap<Option<&DcName>, u32> = BTreeMap::new();
        for candidate in &candidates {
            *by_dc.entry(candidate.dc.as_ref()).or_default() += 1;
        }
        let largest = by_dc.into_iter().max_by_key(|(_, hosts)| *hosts);
        let (large_dc, large) = largest.map_or((None, 0), |(dc, n)| (dc.cloned(), n));
        let others = candidates.len() as u32 - large;
        let (large_votes, other_votes) = match others {
            0 => (1, 1),
            others if large > others => (others, large),
            _ => (1, 1),
        };
        let voters = candidates.into_iter().map(|candidate| {
            let is_large = candidate.dc == large_dc;
            let voter = Voter {
                addr: candidate.addr,
                votes: if is_large { large_votes } else { other_votes },
            };
            (candidate.host, voter)
        });
        Self(voters.collect())
    }

    /// Returns the number of voters.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns `true` if there are no voters.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns `true` if a host votes.
    #[must_use]
    pub fn contains(&self, host: &HostName) -> bool {
        self.0.contains_key(host)
    }

    /// Iterates over the names of the voters.
    pub fn names(&self) -> impl Iterator<Item = &HostName> {
        self.0.keys()
    }

    /// Iterates over the addresses of the voters other than `own`.
    pub fn addrs<'a>(&'a self, own: &'a HostName) -> impl Iterator<Item = SocketAddr> + 'a {
        let others = self.0.iter().filter(move |(name, _)| *name != own);
        others.map(|(_, voter)| voter.addr)
    }

    /// Returns the number of votes of a host; 0 if it does not vote.
    #[must_use]
    pub fn votes_of(&self, host: &HostName) -> u32 {
        self.0.get(host).map_or(0, |voter| voter.votes)
    }

    /// Returns `true` if the voters for which `supports` is `true` have a majority of the votes.
    #[must_use]
    pub fn is_majority(&self, supports: impl Fn(&HostName) -> bool) -> bool {
        self.count(supports) * 2 > self.count(|_| true)
    }

    /// Returns `true` if the voters for which `refuses` is `true` leave no majority to the others.
    #[must_use]
    pub fn prevents_majority(&self, refuses: impl Fn(&HostName) -> bool) -> bool {
        self.count(refuses) * 2 >= self.count(|_| true)
    }

    fn count(&self, counts: impl Fn(&HostName) -> bool) -> u32 {
        let counted = self.0.iter().filter(|(name, _)| counts(name));
        counted.map(|(_, voter)| voter.votes).sum()
    }
}

/// Collects hosts with one vote each.
impl FromIterator<(HostName, SocketAddr)> for Voters {
    fn from_iter<T: IntoIterator<Item = (HostName, SocketAddr)>>(hosts: T) -> Self {
        let voters = hosts.into_iter().map(|(host, addr)| {
            let voter = Voter { addr, votes: 1 };
            (host, voter)
        });
        Self(voters.collect())
    }
}
