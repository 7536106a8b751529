//! Report of a host's requests at a server to the server's new scheduler.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::Life;

use crate::messages::PartName;
use crate::messages::encode;

/// Largest size of a report in bytes, so that it fits one network packet.
const REPORT_BYTES_MAX: usize = 1_200;

/// Largest size of one encoded request in bytes: four numbers of at most nine bytes.
const REQUEST_BYTES_MAX: usize = 36;

/// Largest size of the tag of the packet and of the length of the list, in bytes.
const TAG_BYTES_MAX: usize = 10;

/// A request that a host has at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct HeldRequest {
    pub(crate) ticket: u64,
    /// Time left until the deadline, in milliseconds.
    pub(crate) left: u64,
    /// Expected service time at an average server, in microseconds.
    pub(crate) work_us: u64,
    /// Declared length of the body; 0 without one.
    pub(crate) body_bytes: u64,
}

/// Requests of a host at a server, all or a part of them.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct HeldReport {
    pub(crate) part: PartName,
    pub(crate) server: Life,
    pub(crate) requests: Vec<HeldRequest>,
}

impl HeldReport {
    /// Returns the reports of these requests, each of at most 1,200 bytes unless the names alone are longer.
    pub(crate) fn split(part: &PartName, server: &Life, requests: &[HeldRequest]) -> Vec<Self> {
        let names = encode(part).map_or(0, |b| b.len()) + encode(server).map_or(0, |b| b.len());
        let room = REPORT_BYTES_MAX.saturating_sub(names + TAG_BYTES_MAX);
        let requests = requests.chunks((room / REQUEST_BYTES_MAX).max(1));
        let report = |requests: &[HeldRequest]| Self {
            part: part.clone(),
            server: server.clone(),
            requests: requests.to_vec(),
        };
        requests.map(report).collect()
    }
}
