//! Tells whether a response is far longer than the complete ones of its route.

/// Number of complete responses from which a longer one is unusual. The largest of fewer says little.
const RESPONSES_MIN: u32 = 32;

/// Multiple of the largest complete response from which a response is unusual.
const UNUSUAL_FACTOR: u64 = 2;

/// Sizes of one route's complete responses, as one host observes them.
///
/// Guards against a server that sends bytes without end in place of a response. What it sends is not complete at any
/// time, so only its length shows that something is wrong while another server can still take the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseSizes {
    responses: u32,
    largest: u64,
}

impl ResponseSizes {
    /// Records the size of a complete response body, in bytes.
    pub fn record(&mut self, bytes: u64) {
        self.responses = self.responses.saturating_add(1);
        self.largest = self.largest.max(bytes);
    }

    /// Returns `true` if a body of `bytes` or more is far longer than every complete one; `false` while fewer than 32
    /// were observed.
    #[must_use]
    pub const fn is_unusual(&self, bytes: u64) -> bool {
        self.responses >= RESPONSES_MIN && bytes > self.largest.saturating_mul(UNUSUAL_FACTOR)
    }
}
