//! Spends the tokens of one organisation at a scheduler, and reports their use to the leader.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::Millis;
use chicoryrail_core::QuotaLimit;

use crate::quota::QuotaTolerance;
use crate::quota::token_bucket::TokenBucket;
use crate::quota::token_bucket::time_to_refill;

/// Time without a reply from the leader after which a scheduler is standalone: it spends its own share of each limit.
/// The leader uses the same time without a report to decide which schedulers are standalone.
pub const QUOTA_LEADER_TIMEOUT: Millis = Millis(500);

/// Duration of demand for which tokens are leased ahead.
const LEASE_AHEAD_MS: f64 = 300.0;

/// Time after which a host reports again even if nothing has changed, so that its tokens don't count as spent.
const REPORT_INTERVAL_MAX: Millis = Millis(1_000);

/// Minimum demand expected within [`LEASE_AHEAD_MS`], in tokens, for which tokens are held.
const LEASE_TOKENS_MIN: f64 = 0.25;

/// Multiple of the wanted number of tokens above which a host returns its surplus, down to the wanted number.
const SURPLUS_FACTOR: i64 = 2;

/// Time over which the demand is averaged.
const DEMAND_AVERAGE_MS: f64 = 300.0;

/// Report of a scheduler on its tokens of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaReport {
    /// Term that the counts of granted and returned tokens belong to; 0 before the first grant.
    pub term: u64,
    /// Tokens granted to the host in that term, by the grants that it has received.
    pub granted: u64,
    /// Tokens that the host returned in that term.
    pub returned: u64,
    /// Requests that the host has admitted since it started.
    pub spent: i64,
    /// Tokens that the host holds; below 0 if it admitted requests before it received the tokens.
    pub held: i64,
    /// Tokens that the host should hold for its demand.
    pub want: u64,
}

/// Tokens granted to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaGrant {
    /// Term of the leader that granted them.
    pub term: u64,
    /// Total of tokens granted in that term. A later grant therefore includes one that was lost.
    pub granted: u64,
    /// Whether the admitted requests in the window and the tokens at schedulers have used up the limit.
    pub exhausted: bool,
}

/// Limit of the organisation and state of the cluster that a share is used under.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareParams {
    /// Limit of the organisation.
    pub limit: QuotaLimit,
    /// Number of schedulers.
    pub schedulers: usize,
    /// Whether the leader has not replied for [`QUOTA_LEADER_TIMEOUT`], so that this host spends its own share.
    pub standalone: bool,
    /// Tolerance by which the limit may be exceeded.
    pub tolerance: QuotaTolerance,
}

impl ShareParams {
    fn base_tokens(&self) -> i64 {
        self.tolerance.base_tokens(self.limit, self.schedulers) as i64
    }
}

/// Tokens of one organisation at a scheduler.
///
/// Several schedulers receive requests of one organisation at once. This guards against a request within the limit that
/// waits for a token, or is refused while other schedulers have unused tokens, and against admitting more than the
/// limit in total. Tokens are leased ahead of the observed demand, a few requests are admitted before their tokens
/// arrive, and a host without a reply from the leader spends a fixed share of the rate.
#[derive(Clone, Debug)]
pub struct QuotaShare {
    instance: u64,
    term: u64,
    granted: u64,
    returned: u64,
    spent: i64,
    held: i64,
    /// Fraction of a token of this host's own share, which accumulates while the leader does not reply.
    standalone_tokens: TokenBucket,
    /// Whether the host was standalone at the last request for a token.
    was_standalone: bool,
    /// Whether the limit was used up at the leader's last grant.
    exhausted: bool,
    /// Requests for a token since the last report.
    requested: u32,
    /// Mean requests for a token per millisecond.
    demand: f64,
    reported_at: Millis,
}

impl QuotaShare {
    /// Returns the share of a process that has held no tokens since its clock started; `instance` identifies the process.
    #[must_use]
    pub const fn new(instance: u64) -> Self {
        Self {
            instance,
            term: 0,
            granted: 0,
            returned: 0,
            spent: 0,
            held: 0,
            standalone_tokens: TokenBucket::empty(Millis::ZERO),
            was_standalone: false,
            exhausted: false,
            requested: 0,
            demand: 0.0,
            reported_at: Millis::ZERO,
        }
    }

    /// Takes a token for a request.
    ///
    /// # Errors
    ///
    /// Returns the time until a token may be available.
    pub fn try_take(&mut self, now: Millis, params: &ShareParams) -> Result<(), Millis> {
        self.requested += 1;
        let schedulers = params.schedulers.max(1) as f64;
        let own_rate = params.limit.rate / schedulers;
        if params.standalone {
            self.refill_standalone(now, own_rate, (params.limit.burst / schedulers).max(1.0));
        } else {
            self.standalone_tokens = TokenBucket::empty(now);
            self.was_standalone = false;
        }
        let advance = (params.tolerance.advance_tolerance(params.limit) / schedulers) as i64;
        if self.held - 1 < -advance {
            return Err(time_to_refill(1.0 - self.held as f64, own_rate));
        }
        self.held -= 1;
        self.spent += 1;
        Ok(())
    }

    /// Adds the tokens of this host's own share, at `rate` per second, up to `capacity`. Tokens that the leader granted
    /// are dropped when the host becomes standalone; the leader counts them as held or spent until it receives a
    /// report.
    fn refill_standalone(&mut self, now: Millis, rate: f64, capacity: f64) {
        if !self.was_standalone {
            self.held = self.held.min(0);
            self.was_standalone = true;
        }
        self.standalone_tokens.refill(now, rate, capacity);
        let whole_tokens = self.standalone_tokens.tokens.floor();
        self.standalone_tokens.tokens -= whole_tokens;
        self.held = (self.held + whole_tokens as i64).min(capacity as i64);
    }

    /// Gives back the token of a request that did not run.
    pub fn refund(&mut self) {
        self.held += 1;
        self.spent -= 1;
    }

    /// Returns `true` if a request without a token may wait for one: as far as is known, the leader has some.
    #[must_use]
    pub const fn can_wait(&self, params: &ShareParams) -> bool {
        !params.standalone && !self.exhausted
    }

    /// Returns `true` if a report is due.
    #[must_use]
    pub fn is_due(&self, now: Millis, params: &ShareParams) -> bool {
        let want = self.want(params);
        let in_range = (want..=want * SURPLUS_FACTOR).contains(&self.held);
        self.requested > 0 || !in_range || now.since(self.reported_at) >= REPORT_INTERVAL_MAX
    }

    /// Returns `true` if so few tokens are left that the host should report at once to get more.
    #[must_use]
    pub fn is_low(&self, params: &ShareParams) -> bool {
        self.held <= self.want(params) / 2
    }

    /// Creates the report to the leader. This updates the mean demand and gives surplus tokens back to the leader.
    pub fn report(&mut self, now: Millis, params: &ShareParams) -> QuotaReport {
        let elapsed = now.since(self.reported_at).0.max(1) as f64;
        let current = f64::from(self.requested) / elapsed;
        let weight = (elapsed / DEMAND_AVERAGE_MS).min(1.0);
        self.demand += (current - self.demand) * weight;
        self.requested = 0;
        self.reported_at = now;
        let want = self.want(params);
        if self.held > want * SURPLUS_FACTOR {
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

    /// Returns the number of tokens that the host should hold for its demand.
    fn want(&self, params: &ShareParams) -> i64 {
        let needed = self.demand * LEASE_AHEAD_MS;
        // After a single request long ago, no token is held that other schedulers need.
        let needed = if needed < LEASE_TOKENS_MIN {
            0.0
        } else {
            needed
        };
        (needed.ceil() as i64).max(params.base_tokens())
    }

    /// Applies a grant of the leader to the process `instance`. A grant of an earlier term changes nothing, nor does one
    /// to an earlier process of this host: it includes all tokens that the earlier process was granted.
    pub fn apply_grant(&mut self, instance: u64, grant: QuotaGrant) {
        if instance != self.instance || grant.term < self.term {
            return;
        }
        if grant.term > self.term {
            self.term = grant.term;
            self.granted = 0;
            self.returned = 0;
        }
        self.exhausted = grant.exhausted;
        let new_tokens = grant.granted.saturating_sub(self.granted);
        self.granted += new_tokens;
        self.held += new_tokens as i64;
    }
}
