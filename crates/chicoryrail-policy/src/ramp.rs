//! Requests in flight that a cold server may have.

/// Requests in flight that a server may have while it warms up.
///
/// Load: a server that is new, back, or restarted without a word gets its full share at once.
/// Harm prevented: it falls over, comes back cold and falls over again. It starts from one request
/// in flight, and the limit doubles after as many quick answers in a row as show that the present
/// level is borne. All its slots are held by one gate, so the limit holds over all gates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ramp {
    limit: u32,
    quick: u32,
    slow: u32,
}

/// Quick answers in a row before the limit doubles: one or two may be luck or served from a cache.
const QUICK: u32 = 8;
/// Multiple of the usual service time up to which an answer is quick.
///
/// Closer than the multiple that makes a server suspect: of a server that is still two or three
/// times as slow, a row of eight below that one is no rarity, below this one it is.
const WARM: f64 = 1.5;
/// Answers at one level after which the limit doubles even without a quick one: where all servers
/// are slow alike, none would ever count as warm again. At one in flight and a usual service time,
/// this is seconds.
const ANSWERS: u32 = 512;

impl Ramp {
    /// Starts at one request in flight.
    #[must_use]
    pub const fn cold() -> Self {
        Self {
            limit: 1,
            quick: 0,
            slow: 0,
        }
    }

    /// Starts without a limit.
    #[must_use]
    pub const fn warm() -> Self {
        Self {
            limit: u32::MAX,
            quick: 0,
            slow: 0,
        }
    }

    /// Takes in an answer that took `us` where `usual_us` is usual for the service.
    pub fn answered(&mut self, us: u32, usual_us: f64, slots: u32) {
        if self.limit >= slots {
            return;
        }
        let quick = f64::from(us) < usual_us * WARM;
        self.quick = if quick { self.quick + 1 } else { 0 };
        self.slow += 1;
        if self.quick >= QUICK || self.slow >= ANSWERS {
            self.limit = self.limit.saturating_mul(2);
            self.quick = 0;
            self.slow = 0;
        }
    }

    /// Takes in a request that was cancelled before its answer came.
    ///
    /// It ends a row of quick answers: the loser of a hedge was slow, and if only the quick answers
    /// counted, the hedge would make a cold server look warm.
    pub const fn cancelled(&mut self) {
        self.quick = 0;
    }

    /// Returns the most requests in flight of a server with `slots` slots.
    #[must_use]
    pub const fn limit(&self, slots: u32) -> u32 {
        if self.limit < slots {
            self.limit
        } else {
            slots
        }
    }
}
