//! The tokens of one organisation at a host that schedules.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::Millis;
use chicoryrail_core::QuotaLimit;

use crate::quota::Allowance;
use crate::quota::refill::Refill;
use crate::quota::refill::time_to_grow;

/// Time without an answer of the leader after which a host has its own part of each limit, as the leader reckons.
pub const LONE_AFTER: Millis = Millis(500);

/// Length of the demand for which tokens are leased ahead.
const LEASE_AHEAD_MS: f64 = 300.0;

/// Time after which a host reports again although nothing changed, so that its tokens still count as lent.
const REPORT_INTERVAL_MAX: Millis = Millis(1_000);

/// Tokens ahead below which none is held.
const AHEAD_TOKENS_MIN: f64 = 0.25;

/// Times the tokens wanted above which those beyond are given back.
const SURPLUS_TIMES: i64 = 2;

/// Length of time over which the demand is averaged.
const DEMAND_MEMORY_MS: f64 = 300.0;

/// What a host that schedules says of its tokens of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaReport {
    /// Term in which it counts; 0 where it was given none.
    pub term: u64,
    /// Tokens that it was given in that term.
    pub granted: u64,
    /// Tokens that it gave back in that term.
    pub returned: u64,
    /// Requests that it let run since it started.
    pub spent: i64,
    /// Tokens that it holds; below 0 where requests went ahead of their tokens.
    pub held: i64,
    /// Tokens that it should hold for what is asked of it.
    pub want: u64,
}

/// Tokens that a host was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaGrant {
    /// Term of the leader that gave them.
    pub term: u64,
    /// Tokens given in that term, all together; a grant that was lost is in the next one.
    pub granted: u64,
    /// Whether as much ran in the window as the limit allows.
    pub exhausted: bool,
}

/// Who may give tokens at this moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareBound {
    /// The organisation's limit.
    pub limit: QuotaLimit,
    /// Hosts that schedule.
    pub schedulers: usize,
    /// Whether the leader has not answered for so long that it counts this host as lone.
    pub lone: bool,
    /// What may be exceeded of it.
    pub allowance: Allowance,
}

impl ShareBound {
    fn base(&self) -> i64 {
        self.allowance.base_tokens(self.limit, self.schedulers) as i64
    }
}

/// The tokens of one organisation at a host that schedules.
///
/// Load: the requests of one organisation, at several schedulers at once. Harm prevented: a request that is within the
/// limit waits for a token or is refused beside unused ones elsewhere; all together exceed the limit. Tokens are leased
/// ahead of the demand that is seen, a few requests go ahead of their tokens, and a host that no leader answers has
/// its fixed part of the rate.
#[derive(Clone, Debug)]
pub struct QuotaShare {
    term: u64,
    granted: u64,
    returned: u64,
    spent: i64,
    held: i64,
    /// Tokens that grow while the leader does not answer.
    lone: Refill,
    was_lone: bool,
    /// Whether as much had run as the limit allows when the leader answered last.
    exhausted: bool,
    /// Requests that asked for a token since the last report.
    asked: u32,
    /// Mean requests a millisecond that ask for a token.
    demand: f64,
    reported: Millis,
}

impl Default for QuotaShare {
    /// Returns the share of a host that has held no tokens since its clock started.
    fn default() -> Self {
        Self {
            term: 0,
            granted: 0,
            returned: 0,
            spent: 0,
            held: 0,
            lone: Refill::from(Millis::ZERO),
            was_lone: false,
            exhausted: false,
            asked: 0,
            demand: 0.0,
            reported: Millis::ZERO,
        }
    }
}

impl QuotaShare {
    /// Takes a token for a request.
    ///
    /// # Errors
    ///
    /// Returns the time after which there may be one.
    pub fn take(&mut self, now: Millis, bound: &ShareBound) -> Result<(), Millis> {
        self.asked += 1;
        let schedulers = bound.schedulers.max(1) as f64;
        let part = bound.limit.rate / schedulers;
        if bound.lone {
            self.grow_alone(now, part, (bound.limit.burst / schedulers).max(1.0));
        } else {
            self.lone = Refill::from(now);
            self.was_lone = false;
        }
        let ahead = (bound.allowance.ahead(bound.limit) / schedulers) as i64;
        if self.held - 1 < -ahead {
            return Err(time_to_grow(1.0 - self.held as f64, part));
        }
        self.held -= 1;
        self.spent += 1;
        Ok(())
    }

    /// Adds the tokens of this host's own part, at `rate` a second, up to `most`. What the leader gave counts as spent
    /// there by now.
    fn grow_alone(&mut self, now: Millis, rate: f64, most: f64) {
        if !self.was_lone {
            self.held = self.held.min(0);
            self.was_lone = true;
        }
        self.lone.grow(now, rate, most);
        let whole = self.lone.tokens.floor();
        self.lone.tokens -= whole;
        self.held = (self.held + whole as i64).min(most as i64);
    }

    /// Gives back the token of a request that did not run.
    pub fn give_back(&mut self) {
        self.held += 1;
        self.spent -= 1;
    }

    /// Tells whether a request that found no token may wait for one: the leader has some, as far as is known.
    #[must_use]
    pub const fn may_wait(&self, bound: &ShareBound) -> bool {
        !bound.lone && !self.exhausted
    }

    /// Tells whether there is anything to report.
    #[must_use]
    pub fn is_due(&self, now: Millis, bound: &ShareBound) -> bool {
        let want = self.want(bound);
        let fits = (want..=want * SURPLUS_TIMES).contains(&self.held);
        self.asked > 0 || !fits || now.since(self.reported) >= REPORT_INTERVAL_MAX
    }

    /// Tells whether so few tokens are left that more are to be asked for at once.
    #[must_use]
    pub fn is_low(&self, bound: &ShareBound) -> bool {
        self.held <= self.want(bound) / 2
    }

    /// Returns what the leader is told, and gives back what is not needed.
    pub fn report(&mut self, now: Millis, bound: &ShareBound) -> QuotaReport {
        let passed = now.since(self.reported).0.max(1) as f64;
        let newest = f64::from(self.asked) / passed;
        let part = (passed / DEMAND_MEMORY_MS).min(1.0);
        self.demand += (newest - self.demand) * part;
        self.asked = 0;
        self.reported = now;
        let want = self.want(bound);
        if self.held > want * SURPLUS_TIMES {
            self.returned += (self.held - want) as u64;
            self.held = want;
        }
        QuotaReport {
            term: self.term,
            granted: self.granted,
            returned: self.returned,
            spent: self.spent,
            held: self.held,
            want: want as u64,
        }
    }

    fn want(&self, bound: &ShareBound) -> i64 {
        let ahead = self.demand * LEASE_AHEAD_MS;
        // One request long ago holds no token back from schedulers that need it.
        let ahead = if ahead < AHEAD_TOKENS_MIN { 0.0 } else { ahead };
        (ahead.ceil() as i64).max(bound.base())
    }

    /// Takes in tokens that the leader gave.
    pub fn grant(&mut self, grant: QuotaGrant) {
        if grant.term < self.term {
            return;
        }
        if grant.term > self.term {
            self.term = grant.term;
            self.granted = 0;
            self.returned = 0;
        }
        self.exhausted = grant.exhausted;
        let new = grant.granted.saturating_sub(self.granted);
        self.granted += new;
        self.held += new as i64;
    }
}
