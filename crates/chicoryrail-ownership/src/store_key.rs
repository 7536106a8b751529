//! Names of the product's own keys in the store, below its own prefix.

use chicoryrail_core::HostName;
use chicoryrail_core::ServiceName;

/// Start of the keys that each host watches: the leader and the hosts.
pub const LIVE: &str = "live/";

/// Key of the leader; its value is the leader's name, its revision the term.
pub const LEADER: &str = "live/leader";

/// Start of the keys of hosts; a value is the address of the host's talk with the others.
pub const HOSTS: &str = "live/hosts/";

/// Start of the keys of key records. The leader tells the hosts of each change by itself, so they need not
/// watch them.
pub const KEYS: &str = "keys/";

/// Returns the key of a host.
#[must_use]
pub fn host_key(host: &HostName) -> String {
    format!("{HOSTS}{host}")
}

/// Returns the key of a service's key record.
#[must_use]
pub fn record_key(service: &ServiceName) -> String {
    format!("{KEYS}{service}")
}
