//! Message on the traffic of a service that an operator watches.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::HostName;
use chicoryrail_core::ServerName;
use chicoryrail_core::ServiceName;

use crate::messages::encode;

/// Largest size of a report, so that it fits into one network packet.
const REPORT_BYTES_MAX: usize = 1_200;

/// What a host counted of a service's requests, and its schedulers' state, for the leader.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct TrafficReport {
    pub(crate) host: HostName,
    pub(crate) service: ServiceName,
    /// Time over which requests were counted, in milliseconds.
    pub(crate) window: u32,
    /// Requests that ended.
    pub(crate) requests: u32,
    /// Refused requests by cause.
    pub(crate) causes: Vec<(String, u32)>,
    /// Refused requests by kind of route.
    pub(crate) kinds: Vec<(String, u32)>,
    /// Slots of the servers for which the host schedules.
    pub(crate) slots: u32,
    /// Requests at those servers.
    pub(crate) busy: u32,
    /// Requests that wait for one of those servers.
    pub(crate) waiting: u32,
    /// The slowest of those servers and their slowness, the slowest first.
    pub(crate) servers: Vec<(ServerName, f32)>,
}

impl TrafficReport {
    /// Shortens the report to the size of a network packet: the least slow servers are left out first.
    pub(crate) fn fit(&mut self) {
        let is_too_long = |report: &Self| encode(report).is_ok_and(|b| b.len() > REPORT_BYTES_MAX);
        while is_too_long(self) {
            let shortened = self.servers.pop().is_some()
                || self.causes.pop().is_some()
                || self.kinds.pop().is_some();
            if !shortened {
                return;
            }
        }
    }
}
