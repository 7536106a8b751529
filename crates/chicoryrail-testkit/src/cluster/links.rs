//! The proxied links between the processes of a cluster.

use std::io;
use std::net::SocketAddr;

use crate::HostPlan;
use crate::Link;
use crate::Member;
use crate::ProxyNet;
use crate::TargetPlan;

/// The proxied links of a cluster; each forwards all traffic until a fault is set on it.
///
/// Each host connects to the store over its own link. All hosts share one link to a target, since a target
/// registers a single address.
///
/// Datagrams between hosts don't pass through links. To simulate their loss, a test pauses the host's process.
#[derive(Debug)]
pub struct Links {
    store_links: Vec<Link>,
    target_links: Vec<Link>,
    /// Dropping it ends all links.
    _net: ProxyNet,
}

impl Links {
    /// Starts the links and sets each target's advertised address to the address of its link.
    pub(crate) fn start(
        seed: u64,
        store: SocketAddr,
        targets: &mut [TargetPlan],
        hosts: &[HostPlan],
    ) -> io::Result<Self> {
        let mut net = ProxyNet::start(seed);
        let mut store_links = Vec::new();
        for host in hosts {
            store_links.push(net.link(&format!("{} to store", host.name), store)?);
        }
        let mut target_links = Vec::new();
        for target in targets {
            let link = net.link(&format!("to {}", target.name), target.addr)?;
            target.advertised_addr = link.addr();
            target_links.push(link);
        }
        Ok(Self {
            store_links,
            target_links,
            _net: net,
        })
    }

    /// Returns the link from the host with this index to the store.
    #[must_use]
    pub fn store_link(&self, host: usize) -> &Link {
        &self.store_links[host]
    }

    /// Returns the link to the target with this index.
    #[must_use]
    pub fn target_link(&self, target: usize) -> &Link {
        &self.target_links[target]
    }

    /// Iterates over the links that lead to a process; none leads to a router.
    pub fn links_to(&self, member: Member) -> impl Iterator<Item = &Link> {
        let target_link = match member {
            Member::Target(i) => self.target_links.get(i),
            _ => None,
        };
        let store_links: &[Link] = if member == Member::Store {
            &self.store_links
        } else {
            &[]
        };
        target_link.into_iter().chain(store_links)
    }
}
