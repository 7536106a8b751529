//! Requests of hosts that renew key leases for the leader, and the leader's replies.

use std::net::SocketAddr;

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Life;
use chicoryrail_core::ServiceName;

/// A poll by a host that renews leases: what it did since the last one. Times are in milliseconds.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct RenewalPoll {
    pub(crate) host: HostName,
    pub(crate) dc: DcName,
    /// CPU capacity of the host, in thousandths of a core.
    pub(crate) power: u32,
    pub(crate) reports: Vec<RenewalReport>,
}

/// What a host did for a service.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct RenewalReport {
    pub(crate) service: ServiceName,
    /// Term of the order that the host has; 0 if it has none.
    pub(crate) term: u64,
    /// Version of the order that the host has.
    pub(crate) version: u64,
    pub(crate) confirmed: Vec<ConfirmedGrant>,
    pub(crate) failed: Vec<FailedGrant>,
    /// Servers that said that they are draining.
    pub(crate) draining: Vec<Life>,
}

/// A grant that a server confirmed.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct ConfirmedGrant {
    pub(crate) server: Life,
    pub(crate) first: u16,
    pub(crate) last: u16,
    pub(crate) fence: u64,
    /// Time since the grant was sent.
    pub(crate) age_ms: u64,
}

/// A server that did not confirm a grant, and to which the host sends nothing any more.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct FailedGrant {
    pub(crate) server: Life,
    pub(crate) fence: u64,
    pub(crate) failure: GrantFailure,
}

/// Why a server did not confirm a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum GrantFailure {
    /// It did not answer.
    NoResponse,
    /// It has seen a higher fencing token.
    StaleFence,
    /// Another server uses the address.
    OtherServer,
}

/// Reply to a poll: extends the permits of the host for the orders below.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct RenewalReply {
    /// Term of the leader.
    pub(crate) term: u64,
    pub(crate) orders: Vec<ServiceOrder>,
}

/// What a host renews for a service.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct ServiceOrder {
    pub(crate) service: ServiceName,
    pub(crate) version: u64,
    /// The order; `None` if the host has this version.
    pub(crate) order: Option<OrderContent>,
}

/// Content of an order.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct OrderContent {
    pub(crate) fence: u64,
    /// Duration of the grants.
    pub(crate) lease_ms: u64,
    pub(crate) servers: Vec<OrderedServer>,
}

/// A server and its ranges, each by first and last key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct OrderedServer {
    pub(crate) server: Life,
    pub(crate) addr: SocketAddr,
    pub(crate) spans: Vec<(u16, u16)>,
}
