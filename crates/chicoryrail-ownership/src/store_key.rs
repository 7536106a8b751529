//! Keys of the router's own entries in the store, relative to its prefix.

use chicoryrail_core::Fingerprint;
use chicoryrail_core::HostName;
use chicoryrail_core::ServiceName;

/// Prefix of the entries that every host follows: the leader entry and the host entries.
pub const LIVE: &str = "live/";

/// Key of the leader entry. Its value is the leader's name, its revision the term.
pub const LEADER: &str = "live/leader";

/// Key of the record of the last term and its voters. It stays when the leader's lease ends, and is not watched: elections
/// and hosts that start read it.
pub const TERM: &str = "term";

/// Prefix of the host entries. A value is the host's address for messages from other hosts, and its power.
pub const HOSTS: &str = "live/hosts/";

/// Prefix of the records of blocked requests.
pub const CRASHES: &str = "live/crashes/";

/// Prefix of the operator's rules for traffic. They belong to the feed that every host follows, so they cost no watch of
/// their own.
pub const TRAFFIC_RULES: &str = "live/traffic/rule/";

/// Prefix of the entries that exist while an operator watches a service's traffic.
pub const TRAFFIC_WATCHES: &str = "live/traffic/watch/";

/// Prefix of the state of watched services. Only operators read it, so it is not watched.
const TRAFFIC_STATES: &str = "traffic/state/";

/// Prefix of the key records. They need not be watched, since the leader sends each change to the hosts
/// directly.
pub const KEYS: &str = "keys/";

/// Returns the key of a host's entry.
#[must_use]
pub fn host_key(host: &HostName) -> String {
    format!("{HOSTS}{host}")
}

/// Returns the key of a service's key record.
#[must_use]
pub fn record_key(service: &ServiceName) -> String {
    format!("{KEYS}{service}")
}

/// Returns the key of an operator's rule for traffic.
#[must_use]
pub fn traffic_rule_key(id: &str) -> String {
    format!("{TRAFFIC_RULES}{id}")
}

/// Returns the key of the entry that exists while an operator watches a service's traffic.
#[must_use]
pub fn traffic_watch_key(service: &ServiceName) -> String {
    format!("{TRAFFIC_WATCHES}{service}")
}

/// Returns the key of the state of a service's traffic.
#[must_use]
pub fn traffic_state_key(service: &ServiceName) -> String {
    format!("{TRAFFIC_STATES}{service}")
}

/// Returns the key of a blocked request's record.
#[must_use]
pub fn crash_key(request: Fingerprint) -> String {
    format!("{CRASHES}{request}")
}
