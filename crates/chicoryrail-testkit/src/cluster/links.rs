//! The proxied links between the processes of a cluster.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use chicoryrail_platform::HostEntry;

use crate::HostPlan;
use crate::Link;
use crate::Member;
use crate::Net;
use crate::TargetPlan;

/// The links of a cluster; each passes everything on until a fault is scripted.
///
/// Each host reads a host list of its own, in which the other hosts' addresses are those of links,
/// so the way from one host to another is a link of its own; so is the way from each host to the
/// store. All hosts reach a target over the same link, since the bundle names one address.
#[derive(Debug)]
pub struct Links {
    between: BTreeMap<(usize, Member), Link>,
    stores: Vec<Link>,
    targets: Vec<Link>,
    names: Vec<String>,
    _net: Net,
}

impl Links {
    /// Starts the links, and shows the targets at theirs.
    pub(crate) fn start(
        seed: u64,
        store: SocketAddr,
        targets: &mut [TargetPlan],
        hosts: &[HostPlan],
    ) -> io::Result<Self> {
        let mut net = Net::start(seed);
        let mut between = BTreeMap::new();
        let mut stores = Vec::new();
        for (from, host) in hosts.iter().enumerate() {
            stores.push(net.link(&format!("{} to store", host.name), store)?);
            for (to, peer) in hosts.iter().enumerate().filter(|(to, _)| *to != from) {
                let ends = [
                    (Member::Gate(to), peer.gate_inner),
                    (Member::Controller(to), peer.controller_inner),
                ];
                for (member, addr) in ends {
                    let link = net.link(&format!("{} to {member}", host.name), addr)?;
                    between.insert((from, member), link);
                }
            }
        }
        let mut target_links = Vec::new();
        for target in targets {
            let link = net.link(&format!("to {}", target.name), target.addr)?;
            target.shown = link.addr();
            target_links.push(link);
        }
        Ok(Self {
            between,
            stores,
            targets: target_links,
            names: hosts.iter().map(|h| h.name.clone()).collect(),
            _net: net,
        })
    }

    /// Returns the link from a host to the store.
    #[must_use]
    pub fn store(&self, host: usize) -> &Link {
        &self.stores[host]
    }

    /// Returns the link to a target.
    #[must_use]
    pub fn target(&self, target: usize) -> &Link {
        &self.targets[target]
    }

    /// Iterates over the links to a process.
    pub fn to(&self, member: Member) -> impl Iterator<Item = &Link> {
        let between = self.between.iter();
        let between = between.filter(move |((_, to), _)| *to == member);
        let target = match member {
            Member::Target(i) => self.targets.get(i),
            _ => None,
        };
        let stores: &[Link] = if member == Member::Store {
            &self.stores
        } else {
            &[]
        };
        between.map(|(_, link)| link).chain(target).chain(stores)
    }

    /// Iterates over the links from one host to the processes of another.
    pub fn between(&self, from: usize, to: usize) -> impl Iterator<Item = &Link> {
        let ends = [Member::Gate(to), Member::Controller(to)];
        ends.into_iter()
            .filter_map(move |end| self.between.get(&(from, end)))
    }

    /// Returns the host as the list of `reader` shows it.
    pub(crate) fn shown(&self, reader: usize, entry: &HostEntry) -> HostEntry {
        let mut shown = entry.clone();
        let index = self.names.iter().position(|n| n == entry.name.as_str());
        let Some(to) = index.filter(|to| *to != reader) else {
            return shown;
        };
        if let Some(link) = self.between.get(&(reader, Member::Gate(to))) {
            shown.gate = link.addr();
        }
        if let Some(link) = self.between.get(&(reader, Member::Controller(to))) {
            shown.controller = link.addr();
        }
        shown
    }
}
