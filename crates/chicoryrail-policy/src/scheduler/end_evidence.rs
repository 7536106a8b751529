//! Limits the bytes of request bodies at a server after servers ended under load.

use chicoryrail_core::Millis;

use crate::Scheduler;
use crate::ServerId;
use crate::scheduler::byte_limit::ByteLimit;
use crate::scheduler::server_slots::ServerSlots;

/// Part of the bytes under which a server ended that the servers of the service are given. Less than the whole, as the
/// count is that of declared bodies, and servers hold responses as well.
const LIMIT_FRACTION: f64 = 0.75;

/// Smallest number of requests at a server whose end counts as one under load. The end under a single request may be
/// that request's fault, which [`CrashTable`](crate::CrashTable) finds out.
const REQUESTS_MIN: usize = 2;

/// Requests at a server when its connections began to break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndEvidence {
    /// Number of requests.
    pub requests: usize,
    /// Bytes of their bodies.
    pub bytes: u64,
    /// New limit in bytes for each server of the service.
    pub limit: u64,
}

impl Scheduler {
    /// Records that a server has ended, after [`Scheduler::release`] of a request that broke. Returns the evidence if it
    /// ended under load: with several requests and more bytes than any server of the service was seen to bear.
    pub fn record_server_end(&mut self, now: Millis, server: ServerId) -> Option<EndEvidence> {
        let borne = self.servers.values().map(ServerSlots::borne_bytes).max();
        self.borne_bytes = self.borne_bytes.max(borne.unwrap_or(0));
        let (requests, bytes) = self.servers.get(&server)?.load_at_break(now)?;
        if requests < REQUESTS_MIN || bytes <= self.borne_bytes {
            return None;
        }
        let limit = (bytes as f64 * LIMIT_FRACTION) as u64;
        self.learn_byte_limit(now, limit).then_some(EndEvidence {
            requests,
            bytes,
            limit,
        })
    }

    /// Limits the bytes of request bodies at each server. Returns `false` if the present limit is as low.
    pub fn learn_byte_limit(&mut self, now: Millis, bytes: u64) -> bool {
        if self.byte_limit(now).is_some_and(|limit| limit <= bytes) {
            return false;
        }
        self.byte_limit = Some(ByteLimit::new(now, bytes));
        for slots in self.servers.values_mut() {
            slots.byte_limit = self.byte_limit;
        }
        true
    }

    /// Returns the limit on the bytes of request bodies at each server; `None` before any server ended under load.
    #[must_use]
    pub fn byte_limit(&self, now: Millis) -> Option<u64> {
        self.byte_limit.map(|limit| limit.at(now))
    }

    /// Returns the bytes of request bodies at a server; 0 for an unknown one.
    #[must_use]
    pub fn bytes_in_flight(&self, server: ServerId) -> u64 {
        self.servers.get(&server).map_or(0, ServerSlots::bytes)
    }

    /// Returns the largest number of bytes of request bodies at any server now.
    #[must_use]
    pub fn most_bytes_in_flight(&self) -> u64 {
        let servers = self.servers.values();
        servers.map(ServerSlots::bytes).max().unwrap_or(0)
    }
}
