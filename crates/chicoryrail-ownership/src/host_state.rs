//! State that a host advertises to the others.

use std::collections::BTreeSet;

use chicoryrail_core::DcName;

/// State that a host advertises in its heartbeats.
#[derive(Clone, Debug, Default)]
pub struct HostState {
    /// Whether the store answers the host's calls.
    pub store_reachable: bool,
    /// Data centres whose servers answer the host.
    pub reachable_dcs: BTreeSet<DcName>,
    /// CPU capacity for leading and scheduling, in thousandths of a CPU.
    pub power: u32,
    /// Whether the host schedules requests for servers; a host that is stopping does not.
    pub schedules: bool,
    /// Data centre of the host; `None` until it is known from a heartbeat.
    pub dc: Option<DcName>,
    /// Whether the host watches the store itself.
    pub watches: bool,
    /// Number of leaf hosts that follow the host.
    pub leaf_hosts: u32,
}
