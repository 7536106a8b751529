//! Requests to a relay, a host that passes on the content of the store, and its replies.

use std::net::SocketAddr;

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::KeyChanges;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_platform::FeedNews;

use crate::messages::CrashNews;
use crate::messages::KeyRanges;

/// Number of feeds of the store that are relayed.
pub(crate) const FEED_COUNT: usize = 3;

/// A poll for updates: what the host already has.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct RelayRequest {
    pub(crate) host: HostName,
    /// Whether the requesting host is a leaf host.
    pub(crate) leaf: bool,
    /// Whether the store is available, as far as the requesting host knows.
    pub(crate) store: bool,
    /// Revision up to which the host has read each feed; `None` if it has not read the feed yet.
    pub(crate) revisions: [Option<u64>; FEED_COUNT],
    /// Key maps that the host has.
    pub(crate) fences: Vec<KeyFence>,
}

/// A poll of a host that understands changes of key maps. A host of an earlier version reads the [`RelayRequest`] alone.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct RelayPoll {
    pub(crate) request: RelayRequest,
    /// Whether key maps may be sent as changes.
    pub(crate) accepts_changes: bool,
}

/// A poll of a host that gets news of requests that end servers from its relay. A host of an earlier version reads the
/// [`RelayPoll`] alone.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct FollowerPoll {
    pub(crate) poll: RelayPoll,
    /// Version of the news that the host last got from a relay; `None` for a host of an earlier version.
    pub(crate) crashes: Option<CrashVersion>,
}

/// Version of one process's news of requests that end servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct CrashVersion {
    /// The process; 0 is none.
    pub(crate) instance: u64,
    pub(crate) number: u64,
}

/// A process's news of requests that end servers.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct CrashUpdate {
    pub(crate) version: CrashVersion,
    pub(crate) news: CrashNews,
}

/// Fencing token of the key map that a host has for a service.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct KeyFence {
    pub(crate) service: ServiceName,
    pub(crate) fence: u64,
}

/// Updates that the requesting host does not have yet, and the relay's view of the other hosts and the store.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct RelayReply {
    /// Updates of each feed of the store; `None` if there are none.
    pub(crate) news: [Option<FeedNews>; FEED_COUNT],
    /// Key maps newer than those of the requesting host.
    pub(crate) keys: Vec<KeyMap>,
    /// Core hosts that the relay recently received heartbeats from.
    pub(crate) core: Vec<CoreState>,
    /// Highest number of hosts that the relay ever knew at a time.
    pub(crate) hosts: u32,
    /// Highest leadership term that the relay knows.
    pub(crate) term: u64,
    pub(crate) leader: Option<HostName>,
    /// Time since the last heartbeat of the leader, in milliseconds.
    pub(crate) leader_ms: Option<u64>,
    /// Whether the store answers the relay.
    pub(crate) store: bool,
    /// Time since the store recovered from an outage, in milliseconds.
    pub(crate) back_ms: Option<u64>,
    /// Age of the relay's configuration; `None` if it was never verified to be current.
    pub(crate) config: Option<ConfigAge>,
}

/// A reply to a [`RelayPoll`]. A host of an earlier version sends the [`RelayReply`] alone.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct RelayAnswer {
    pub(crate) reply: RelayReply,
    /// Changes of key maps since those of the requesting host.
    pub(crate) key_changes: Vec<KeyMapChanges>,
}

/// A reply to a [`FollowerPoll`]. A host of an earlier version sends the [`RelayAnswer`] alone.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct FollowerAnswer {
    pub(crate) answer: RelayAnswer,
    /// `None` if there is no news of requests that end servers.
    pub(crate) crashes: Option<CrashUpdate>,
}

/// Time since a relay's configuration was verified to be current, in milliseconds.
#[derive(Clone, Copy, Debug, Encode, Decode)]
pub(crate) struct ConfigAge {
    /// Age when the reply was written.
    pub(crate) age_ms: u64,
    /// Time from the arrival of the request until the reply was written. So the reply was
    /// written no earlier than this time after the request was sent.
    pub(crate) held_ms: u64,
}

/// Assigned owners of the keys of a service.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct KeyMap {
    pub(crate) service: ServiceName,
    /// Fencing token of the assignment.
    pub(crate) fence: u64,
    pub(crate) ranges: KeyRanges,
}

/// Changes of the owners of a service's keys.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct KeyMapChanges {
    pub(crate) service: ServiceName,
    /// Fencing token of the assignment that is changed.
    pub(crate) base: u64,
    /// Fencing token of the resulting assignment.
    pub(crate) fence: u64,
    /// Changed ranges with an owner.
    pub(crate) owned: KeyRanges,
    /// First and last key of each changed range without an owner.
    pub(crate) unowned: Vec<(u16, u16)>,
}

impl KeyMapChanges {
    /// Builds the compact form of changes.
    pub(crate) fn pack(service: &ServiceName, changes: &KeyChanges) -> Self {
        let unowned = changes.unowned.iter().map(|r| (r.first, r.last));
        Self {
            service: service.clone(),
            base: changes.base,
            fence: changes.fence,
            owned: KeyRanges::pack(&changes.owned),
            unowned: unowned.collect(),
        }
    }

    /// Converts the compact form to changes.
    pub(crate) fn to_changes(&self) -> KeyChanges {
        let unowned = self.unowned.iter();
        KeyChanges {
            base: self.base,
            fence: self.fence,
            owned: self.owned.to_record(self.fence).spans,
            unowned: unowned
                .map(|(first, last)| KeyRange {
                    first: *first,
                    last: *last,
                })
                .collect(),
        }
    }
}

/// State of a core host, as a relay knows it.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct CoreState {
    pub(crate) host: HostName,
    pub(crate) addr: SocketAddr,
    pub(crate) dc: Option<DcName>,
    /// CPU capacity for leading and scheduling, in thousandths of a core.
    pub(crate) power: u32,
    /// Whether the host schedules requests for servers.
    pub(crate) schedules: bool,
    /// Whether the store answers the host.
    pub(crate) store: bool,
    /// Whether the host watches the store itself.
    pub(crate) watches: bool,
}
