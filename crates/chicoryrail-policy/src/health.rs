//! Whether a server is slower than its peers, for a moment or for good.

use chicoryrail_core::Millis;

/// A request is late, and an answer slow, from this multiple of the usual service time.
///
/// Three: of a usual spread of service times (log-normal, sigma 0.4) fewer than 2 in 1,000 are that
/// long, so a healthy server is seldom suspected.
const LATE: f64 = 3.0;
/// Shortest age that counts as late; the clock has steps of a millisecond.
const LATE_FLOOR: Millis = Millis(3);
/// Longest rest of a suspected server before a probe; the first is the age that counts as late, and
/// it doubles.
///
/// One long answer is mostly chance, so the first rest is short: a long one took 3 % of a saturated
/// service's capacity. A straggler of a moment lasts 200 to 800 ms; it is probed some five times.
const REST_LONGEST: Millis = Millis(400);
/// A server that stayed suspect for longer is no momentary straggler: its slices should move.
const PERSISTENT: Millis = Millis(2_000);

/// What is thought of a server's speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// As quick as its peers.
    Sound,
    /// Slow since a moment ago: free work goes elsewhere, keyed work waits it out.
    Momentary,
    /// Slow for seconds: the controller should move its slices.
    Persistent,
}

/// Watches one server's speed.
///
/// Load: an unseen neighbour slows a server for some hundred milliseconds, and its own report tells
/// so a second late. Harm prevented: requests keep going to it because it has few in flight. The
/// earliest sign is the age of the oldest request in flight; it needs no answer.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    since: Option<Millis>,
    probe: Millis,
    rest: Millis,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            since: None,
            probe: Millis::ZERO,
            rest: LATE_FLOOR,
        }
    }
}

impl Health {
    /// Returns the age from which a request is late where `usual_us` is usual.
    #[must_use]
    pub fn late(usual_us: f64) -> Millis {
        Millis((usual_us * LATE / 1_000.0).ceil() as u64).max(LATE_FLOOR)
    }

    /// Takes in the age of the oldest request in flight.
    pub fn oldest(&mut self, now: Millis, age: Millis, usual_us: f64) {
        let late = Self::late(usual_us);
        if age >= late {
            self.suspect(now, late);
        }
    }

    /// Takes in an answer; tells whether it was as quick as usual.
    pub fn answered(&mut self, now: Millis, us: u32, usual_us: f64) -> bool {
        let quick = f64::from(us) < usual_us * LATE;
        if quick {
            self.since = None;
        } else {
            self.suspect(now, Self::late(usual_us));
        }
        quick
    }

    /// Takes in a failure: no answer is no better than a slow one.
    pub fn failed(&mut self, now: Millis, usual_us: f64) {
        self.suspect(now, Self::late(usual_us));
    }

    /// Takes in that a request is sent although the server is suspected; the next one must wait.
    pub fn probed(&mut self, now: Millis) {
        self.probe = now + self.rest;
        self.rest = self.rest.times(2).min(REST_LONGEST);
    }

    /// Tells whether the server is suspected to be slow.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.since.is_some()
    }

    /// Tells whether a suspected server may get one request to see whether it is still slow.
    #[must_use]
    pub fn may_probe(&self, now: Millis) -> bool {
        now >= self.probe
    }

    /// Tells what is thought of the server.
    #[must_use]
    pub fn verdict(&self, now: Millis) -> Verdict {
        match self.since {
            None => Verdict::Sound,
            Some(t) if now.since(t) < PERSISTENT => Verdict::Momentary,
            Some(_) => Verdict::Persistent,
        }
    }

    fn suspect(&mut self, now: Millis, rest: Millis) {
        if self.since.is_none() {
            self.since = Some(now);
            self.probe = now + rest;
            self.rest = rest.times(2);
        }
    }
}
