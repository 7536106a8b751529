//! Limits the requests at a server that fell silent.

/// Number of requests at once that a server is given after it did not respond to one.
///
/// Guards against servers that can process fewer requests than they have slots and never respond to the others: each
/// further request beyond that number would be lost, too. A single silence may have another cause, so the limit rises
/// again with each proof that the server responds. It does not rise while the first request that filled it is in flight:
/// meanwhile further ones would be lost.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LearnedLimit {
    /// `None` while the server may use all its slots.
    lowered: Option<Lowered>,
}

#[derive(Clone, Copy, Debug)]
struct Lowered {
    slots: u32,
    /// Number of requests at the server when it fell silent, which is the number of responses for each rise.
    step: u32,
    /// Responses since the last change.
    responses: u32,
    /// Ticket of the first request that filled the limit since the last change.
    probe: Option<u64>,
}

impl LearnedLimit {
    /// Returns how many of the server's slots may be used.
    pub(crate) fn apply(&self, slots: u32) -> u32 {
        self.lowered.map_or(slots, |l| l.slots.min(slots))
    }

    /// Records that the server did not respond to a request that was the last of `requests` there when it was sent.
    pub(crate) fn record_silence(&mut self, requests: u32, slots: u32) {
        let fewer = requests.saturating_sub(1).max(1);
        if fewer >= slots {
            return;
        }
        self.lowered = Some(Lowered {
            slots: fewer.min(self.apply(slots)),
            step: requests,
            responses: 0,
            probe: None,
        });
    }

    /// Records that a request is sent, and that it is the last of `requests` at the server.
    pub(crate) fn record_send(&mut self, ticket: u64, requests: u32) {
        if let Some(lowered) = &mut self.lowered
            && requests >= lowered.slots
        {
            lowered.probe.get_or_insert(ticket);
        }
    }

    /// Records a complete response. `is_in_flight` tells whether the request with a ticket is still at the server.
    pub(crate) fn record_response(&mut self, slots: u32, is_in_flight: impl Fn(u64) -> bool) {
        let Some(lowered) = &mut self.lowered else {
            return;
        };
        lowered.responses += 1;
        if lowered.responses < lowered.step || lowered.probe.is_some_and(is_in_flight) {
            return;
        }
        lowered.responses = 0;
        lowered.probe = None;
        lowered.slots += 1;
        if lowered.slots >= slots {
            self.lowered = None;
        }
    }
}
