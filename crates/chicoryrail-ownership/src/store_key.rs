//! Names of the product's own keys in the store, below its own prefix.

use chicoryrail_core::HostName;
use chicoryrail_core::ServiceName;

/// Key of the leader; its value is the leader's name, its revision the term.
pub const LEADER: &str = "leader";

/// Start of the keys of hosts; a value is the address of the host's talk with the others.
pub const HOSTS: &str = "hosts/";

/// Start of the keys of key records.
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
