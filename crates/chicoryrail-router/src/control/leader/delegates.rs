//! The hosts that renew key leases for this one while it leads.

use std::collections::BTreeMap;
use std::collections::HashMap;

use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::HostState;
use chicoryrail_ownership::select_renewer;

use crate::messages::OrderContent;
use crate::messages::RenewalPoll;

/// Age of a host's last poll up to which servers are delegated to it: some lost polls.
const POLL_AGE_MAX: Millis = Millis(600);

/// Hosts that renew leases of one service, and the servers delegated to each.
#[derive(Debug, Default)]
pub(super) struct Delegates {
    pub(super) hosts: BTreeMap<HostName, Delegate>,
    /// Host of each delegated server.
    pub(super) by_server: HashMap<Life, HostName>,
    /// Whether the hosts changed since the servers were last distributed.
    pub(super) hosts_changed: bool,
}

/// A host that renews leases, and what it was last told to renew.
#[derive(Debug)]
pub(super) struct Delegate {
    state: HostState,
    polled_at: Millis,
    pub(super) version: u64,
    pub(super) sent: Option<OrderContent>,
}

impl Delegates {
    /// Records a poll of a host and returns the host.
    pub(super) fn record_poll(&mut self, now: Millis, poll: &RenewalPoll) -> &mut Delegate {
        self.hosts_changed |= !self.hosts.contains_key(&poll.host);
        let delegate = self.hosts.entry(poll.host.clone());
        let delegate = delegate.or_insert_with(|| Delegate {
            state: HostState {
                power: poll.power,
                dc: Some(poll.dc.clone()),
                ..HostState::default()
            },
            polled_at: now,
            version: 0,
            sent: None,
        });
        delegate.polled_at = now;
        delegate
    }

    /// Drops the hosts that have not polled for too long.
    pub(super) fn expire(&mut self, now: Millis) {
        let before = self.hosts.len();
        self.hosts
            .retain(|_, d| now.since(d.polled_at) <= POLL_AGE_MAX);
        self.hosts_changed |= self.hosts.len() != before;
    }

    /// Returns the host for a server: one of its data centre if possible.
    pub(super) fn host_for(&self, dc: &DcName, life: &Life) -> Option<&HostName> {
        let hosts = self.hosts.iter().map(|(name, d)| (name, &d.state));
        select_renewer(hosts, dc, life)
    }
}
