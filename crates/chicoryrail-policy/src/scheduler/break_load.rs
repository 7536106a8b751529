//! Keeps what a server held when its connections began to break.

use chicoryrail_core::Millis;

/// Time in which the connections of a server that ends break. They break one after the other.
const BREAK_TIME: Millis = Millis(1_000);

/// Requests at a server when its connections began to break.
#[derive(Clone, Copy, Debug)]
struct Break {
    at: Millis,
    requests: usize,
    bytes: u64,
}

/// The first of the connections of a server that broke lately.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BreakLoad {
    first: Option<Break>,
}

impl BreakLoad {
    /// Records that a connection broke. What the server held at the first one is kept for a second.
    pub(super) fn record(&mut self, now: Millis, requests: usize, bytes: u64) {
        if self.at(now).is_none() {
            self.first = Some(Break {
                at: now,
                requests,
                bytes,
            });
        }
    }

    /// Returns the number of requests and the bytes of their bodies when the connections began to break; `None` if none
    /// broke within the last second.
    pub(super) fn at(&self, now: Millis) -> Option<(usize, u64)> {
        let lately = self.first.filter(|b| now.since(b.at) <= BREAK_TIME);
        lately.map(|b| (b.requests, b.bytes))
    }
}
