//! The proxied links between the processes of a cluster.

use std::io;
use std::net::SocketAddr;

use crate::HostPlan;
use crate::Link;
use crate::Member;
use crate::Net;
use crate::TargetPlan;

/// The links of a cluster; each passes everything on until a fault is scripted.
///
/// Each host reaches the store over a link of its own. All hosts reach a target over the same link, since
/// the target registers one address. Hosts talk to each other by datagrams, which no link carries; a host
/// that hears nobody is played by a pause of its process.
#[derive(Debug)]
pub struct Links {
    stores: Vec<Link>,
    targets: Vec<Link>,
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
        let mut stores = Vec::new();
        for host in hosts {
            stores.push(net.link(&format!("{} to store", host.name), store)?);
        }
        let mut target_links = Vec::new();
        for target in targets {
            let link = net.link(&format!("to {}", target.name), target.addr)?;
            target.shown = link.addr();
            target_links.push(link);
        }
        Ok(Self {
            stores,
            targets: target_links,
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
        let target = match member {
            Member::Target(i) => self.targets.get(i),
            _ => None,
        };
        let stores: &[Link] = if member == Member::Store {
            &self.stores
        } else {
            &[]
        };
        target.into_iter().chain(stores)
    }
}
