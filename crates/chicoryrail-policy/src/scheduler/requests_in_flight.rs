//! Holds the requests in flight at one server.

use std::collections::HashMap;

use chicoryrail_core::Millis;

use crate::scheduler::held_request::HeldRequest;

/// Time after its deadline at which a request counts as ended without a [`SlotRelease`](crate::SlotRelease): the
/// release, or the host that should have sent it, was lost.
const RELEASE_TIMEOUT: Millis = Millis(300);

/// A request in flight at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    sent_at: Millis,
    deadline: Millis,
    pub(super) work_us: f64,
    /// Number of requests at the server when this one was sent, itself included.
    pub(super) requests: u32,
    pub(super) body_bytes: u64,
}

/// The requests in flight at a server, by their tickets.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestsInFlight {
    by_ticket: HashMap<u64, InFlight>,
}

impl RequestsInFlight {
    /// Returns `true` if the request is in flight.
    pub(super) fn contains(&self, ticket: u64) -> bool {
        self.by_ticket.contains_key(&ticket)
    }

    /// Returns the number of requests.
    pub(super) fn count(&self) -> usize {
        self.by_ticket.len()
    }

    /// Returns the bytes of the requests' bodies.
    pub(super) fn bytes(&self) -> u64 {
        self.by_ticket.values().map(|r| r.body_bytes).sum()
    }

    /// Adds a request, and returns the number of requests with it.
    pub(super) fn insert(&mut self, now: Millis, request: &HeldRequest) -> u32 {
        let requests = self.by_ticket.len() as u32 + 1;
        let in_flight = InFlight {
            sent_at: now,
            deadline: request.deadline,
            work_us: request.work_us,
            requests,
            body_bytes: request.body_bytes,
        };
        self.by_ticket.insert(request.ticket, in_flight);
        requests
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, ticket: u64) -> Option<InFlight> {
        self.by_ticket.remove(&ticket)
    }

    /// Removes requests for which no report of their end arrived.
    pub(super) fn expire(&mut self, now: Millis) {
        self.by_ticket
            .retain(|_, r| now < r.deadline + RELEASE_TIMEOUT);
    }

    /// Estimates the time until a slot is free, in microseconds, without regard to limits.
    pub(super) fn slot_in_us(&self, now: Millis, slots: usize, slowness: f64) -> f64 {
        if self.count() < slots {
            return 0.0;
        }
        let remaining = self.by_ticket.values().map(|r| {
            let elapsed_us = now.since(r.sent_at).0 as f64 * 1_000.0;
            // Work that exceeds its estimate is assumed to take another quarter of the estimate.
            (r.work_us * slowness - elapsed_us).max(r.work_us * 0.25)
        });
        let mut remaining: Vec<f64> = remaining.collect();
        remaining.sort_by(f64::total_cmp);
        remaining[self.count() - slots]
    }
}
