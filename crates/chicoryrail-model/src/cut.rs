//! A cut of the network.

use std::fmt;

/// Network between the hosts, the two servers and the store; the processes in the set can't exchange messages with the
/// others. The store is never in the set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cut {
    /// Hosts, as bits by their numbers.
    pub hosts: u8,
    /// Servers, as bits by their numbers.
    pub servers: u8,
}

impl Cut {
    /// Returns `true` if a host reaches the store.
    #[must_use]
    pub const fn host_reaches_store(self, host: usize) -> bool {
        self.hosts >> host & 1 == 0
    }

    /// Returns `true` if two hosts reach each other.
    #[must_use]
    pub const fn hosts_connected(self, a: usize, b: usize) -> bool {
        (self.hosts >> a ^ self.hosts >> b) & 1 == 0
    }

    /// Returns `true` if a host reaches a server.
    #[must_use]
    pub const fn host_reaches_server(self, host: usize, server: usize) -> bool {
        (self.hosts >> host ^ self.servers >> server) & 1 == 0
    }

    /// Returns `true` if nothing is cut off.
    #[must_use]
    pub const fn is_healed(self) -> bool {
        self.hosts == 0 && self.servers == 0
    }
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hosts = (0..8).filter(|h| self.hosts >> h & 1 == 1);
        let servers = (0..8).filter(|s| self.servers >> s & 1 == 1);
        let hosts = hosts.map(|h| format!("h{h}"));
        let names: Vec<_> = hosts.chain(servers.map(|s| format!("s{s}"))).collect();
        write!(f, "{}", names.join(", "))
    }
}
