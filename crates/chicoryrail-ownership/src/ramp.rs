//! The budget of a server in cold start.

use chicoryrail_core::Millis;

/// Requests that have to succeed in a step, for each one that the budget allows in flight. Fewer
/// would double on luck; more would keep a warm server small for long.
const PROOF: u32 = 4;
/// Longest length of a step with traffic: a server whose service is slow by nature still warms up.
const STEP_MOST: Millis = Millis(3_000);
/// Time without a failure after which a single request in flight becomes two without proof. Batch
/// leaves a server's last slot alone, so a server that only gets batch would stay cold for ever.
const ALONE_MOST: Millis = Millis(2_000);
/// Latency over the warm one up to which an answer counts as warm.
const WARM_FACTOR: u32 = 3;
/// Latency over the warm one that is suspected to be cold.
const COLD_FACTOR: u32 = 5;
/// How long the suspicion must last. Neighbours slow a server for 200 to 800 ms; a cold start lasts.
const COLD_AFTER: Millis = Millis(2_000);

/// Which part of its slots a server may be given.
///
/// Made for servers that fall over when they are given full load while cold: new, restarted, returned
/// after silence or from being out, or cold again without warning. The budget starts at one request
/// in flight over all gates and doubles with each proven step, so a cold server is never asked for
/// more than twice of what it has just borne.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ramp {
    budget: Option<u32>,
    since: Millis,
    proven: u32,
    warm: u32,
    slow: Option<Millis>,
}

/// What a gate saw of a server since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Seen {
    /// Requests sent.
    pub sent: u32,
    /// Failures among them.
    pub failed: u32,
    /// Mean latency in microseconds; 0 where nothing was answered.
    pub latency: u32,
    /// Requests in flight and queued.
    pub waiting: u32,
}

impl Ramp {
    /// Starts anew from one request in flight.
    pub const fn chill(&mut self, now: Millis) {
        self.resume(now, 1);
    }

    /// Goes on with a budget that an earlier holder had reached.
    pub const fn resume(&mut self, now: Millis, budget: u32) {
        self.budget = Some(budget);
        self.since = now;
        self.proven = 0;
        self.slow = None;
    }

    /// Tells whether the server is in cold start.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.budget.is_some()
    }

    /// Returns how many of `slots` may be used.
    #[must_use]
    pub fn slots(&self, slots: u32) -> u32 {
        self.budget.map_or(slots, |b| b.min(slots))
    }

    /// Takes in what the server's gate has seen.
    pub fn seen(&mut self, now: Millis, seen: Seen, slots: u32) {
        match self.budget {
            Some(budget) => self.step(now, seen, budget, slots),
            None => self.doubt(now, seen),
        }
    }

    fn step(&mut self, now: Millis, seen: Seen, budget: u32, slots: u32) {
        if seen.failed > 0 {
            // It sheds at this budget: half of it, and the step begins anew.
            self.resume(now, (budget / 2).max(1));
            return;
        }
        let warm = self.warm == 0 || seen.latency <= self.warm.saturating_mul(WARM_FACTOR);
        self.proven = self.proven.saturating_add(seen.sent);
        let passed = now.since(self.since);
        let proven = self.proven >= budget.saturating_mul(PROOF) && (warm || passed >= STEP_MOST);
        let alone = budget == 1 && passed >= ALONE_MOST;
        if !(proven || alone) {
            return;
        }
        let next = budget.saturating_mul(2);
        self.resume(now, next);
        if next >= slots {
            self.budget = None;
        }
    }

    fn doubt(&mut self, now: Millis, seen: Seen) {
        if seen.latency == 0 {
            return;
        }
        if self.warm > 0 && seen.latency >= self.warm.saturating_mul(COLD_FACTOR) {
            let since = *self.slow.get_or_insert(now);
            if now.since(since) >= COLD_AFTER {
                self.chill(now);
            }
            return;
        }
        self.slow = None;
        self.warm = if self.warm == 0 {
            seen.latency
        } else {
            // A slow mean, so that a creeping cold start does not become the measure.
            self.warm - self.warm / 16 + seen.latency / 16
        };
    }
}
