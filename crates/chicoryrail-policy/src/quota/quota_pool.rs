//! Grants the tokens of one organisation to schedulers and counts the requests that they admit.

use std::collections::BTreeMap;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::QuotaLimit;

use crate::quota::QuotaGrant;
use crate::quota::QuotaReport;
use crate::quota::QuotaTolerance;
use crate::quota::sliding_window::SlidingWindow;
use crate::quota::token_bucket::TokenBucket;

/// Time without a report after which a host's tokens count as spent. It is three times the longest interval between
/// reports, and longer than [`QUOTA_LEADER_TIMEOUT`](crate::QUOTA_LEADER_TIMEOUT), after which a host without replies
/// drops its granted tokens and spends its own share of the limit.
const REPORT_TIMEOUT: Millis = Millis(3_000);

/// Tokens of one organisation at the leader.
///
/// Guards against admitting more than the limit when many schedulers each receive a changing fraction of an
/// organisation's requests and none sees all of them. In any window, the admitted requests and the unused tokens at
/// schedulers together stay within the limit. A token bucket spreads grants over the window. Without it, a burst of
/// requests could use up the whole limit at once, and nothing would be admitted for the rest of the window.
#[derive(Clone, Debug)]
pub struct QuotaPool {
    started: Millis,
    /// Admitted requests; `None` before the first report.
    admitted: Option<SlidingWindow>,
    /// Tokens that may be granted now.
    bucket: TokenBucket,
    leases: BTreeMap<HostName, HostLease>,
}

/// Tokens leased to one host.
#[derive(Clone, Copy, Debug, Default)]
struct HostLease {
    /// Tokens granted to the host in the leader's term.
    granted: u64,
    /// Tokens that the host has returned in the leader's term, by its last report.
    returned: u64,
    /// Requests that the host has admitted since it started, by its last report.
    spent: i64,
    /// Tokens that the host holds by its last report, plus the grants that it has not received yet.
    held: i64,
    /// Tokens that the host should hold for its demand, by its last report.
    want: u64,
    /// Fraction of a token carried over from the host's previous share. It accumulates, so that when there are fewer
    /// tokens than hosts, each host gets a whole one from time to time.
    remainder: f64,
    reported_at: Millis,
}

impl HostLease {
    /// Returns by how many tokens `held` is below `want`.
    fn shortfall(&self) -> f64 {
        (self.want as i64 - self.held).max(0) as f64
    }
}

/// Limit of the organisation and state of the cluster that a report is handled under.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolParams {
    /// Term of the leader.
    pub term: u64,
    /// Limit of the organisation.
    pub limit: QuotaLimit,
    /// Tolerance by which the limit may be exceeded.
    pub tolerance: QuotaTolerance,
    /// Number of schedulers.
    pub schedulers: usize,
    /// Fraction of the schedulers that report to this leader. The others spend their shares of the limit on their own.
    pub connected_fraction: f64,
}

impl PoolParams {
    /// Returns the number of tokens by which grants may exceed both the burst and the window limit.
    fn grant_tolerance(&self) -> f64 {
        self.tolerance.grant_tolerance(self.limit)
    }
}

impl QuotaPool {
    /// Returns the pool of a leader whose term began at `started`. The leader does not know what was admitted before,
    /// so it assumes as much as the limit allows.
    #[must_use]
    pub const fn new(started: Millis) -> Self {
        Self {
            started,
            admitted: None,
            bucket: TokenBucket::empty(started),
            leases: BTreeMap::new(),
        }
    }

    /// Applies a host's report and grants the host its shortfall of tokens, as far as available.
    pub fn report(
        &mut self,
        now: Millis,
        host: &HostName,
        report: QuotaReport,
        params: &PoolParams,
    ) -> QuotaGrant {
        self.expire_unreported(now);
        self.apply_report(now, host, report, params);
        let in_window = self.refill_and_count_free(now, params);
        let available = in_window.min(self.bucket.tokens);
        let shortfalls: f64 = self.leases.values().map(HostLease::shortfall).sum();
        let lease = self.leases.entry(host.clone()).or_default();
        // If there are too few tokens for all hosts, each gets a share in proportion to its shortfall, so the first to
        // report does not take them all.
        let share = lease.shortfall() * available.max(0.0) / shortfalls.max(1.0) + lease.remainder;
        lease.remainder = share.fract();
        let new_tokens = lease
            .shortfall()
            .min(share.floor())
            .min(available.floor())
            .max(0.0);
        self.bucket.tokens -= new_tokens;
        lease.granted += new_tokens as u64;
        lease.held += new_tokens as i64;
        QuotaGrant {
            term: params.term,
            granted: lease.granted,
            exhausted: in_window - new_tokens < 1.0,
        }
    }

    /// Refills the bucket of tokens that may be granted now, and returns the number of tokens left in the window.
    fn refill_and_count_free(&mut self, now: Millis, params: &PoolParams) -> f64 {
        let window_length = params.tolerance.window;
        let window_limit = params.tolerance.window_limit(params.limit);
        let limit = window_limit * params.connected_fraction.clamp(0.0, 1.0);
        let held: i64 = self.leases.values().map(|l| l.held.max(0)).sum();
        let admitted_count = self.admitted_window(params).count(now);
        let rate = limit * 1_000.0 / window_length.0.max(1) as f64;
        let capacity = (params.limit.burst + params.grant_tolerance() - held as f64).max(0.0);
        self.bucket.refill(now, rate, capacity);
        limit + params.grant_tolerance() - admitted_count - held as f64
    }

    /// Returns the window of admitted requests. The leader does not know what was admitted before its term, so it
    /// assumes as much as the limit allows, with the burst as late as possible, since it then leaves the window last.
    fn admitted_window(&mut self, params: &PoolParams) -> &mut SlidingWindow {
        let QuotaTolerance {
            window: window_length,
            ..
        } = params.tolerance;
        let limit = params.limit;
        self.admitted.get_or_insert_with(|| {
            let window_limit = params.tolerance.window_limit(limit);
            let mut window =
                SlidingWindow::filled(self.started, window_length, window_limit - limit.burst);
            window.add(self.started, limit.burst + params.grant_tolerance());
            window
        })
    }

    /// Counts the tokens of hosts that no longer report as spent.
    fn expire_unreported(&mut self, now: Millis) {
        let overdue = self.leases.values_mut();
        let overdue = overdue.filter(|l| now.since(l.reported_at) > REPORT_TIMEOUT);
        // The tokens are cleared so that they are counted only once, and the demand so that it lowers no other host's
        // share.
        let unreported = overdue.map(|l| {
            l.want = 0;
            std::mem::take(&mut l.held).max(0)
        });
        let unreported: i64 = unreported.sum();
        if let Some(admitted) = self.admitted.as_mut().filter(|_| unreported > 0) {
            admitted.add(now, unreported as f64);
        }
    }

    /// Updates a host's lease from its report, or creates it.
    fn apply_report(
        &mut self,
        now: Millis,
        host: &HostName,
        report: QuotaReport,
        params: &PoolParams,
    ) {
        let previous = self.leases.get(host).copied();
        let previous = previous.filter(|_| report.term == params.term);
        let lease = match previous {
            Some(previous) => self.update_lease(now, previous, report, params),
            None => self.new_lease(now, host, report, params),
        };
        self.leases.insert(host.clone(), lease);
    }

    /// Returns a host's lease after a report whose counts belong to this term.
    fn update_lease(
        &mut self,
        now: Millis,
        previous: HostLease,
        report: QuotaReport,
        params: &PoolParams,
    ) -> HostLease {
        let spent = report.spent - previous.spent;
        self.admitted_window(params).add(now, spent as f64);
        let returned = report.returned.saturating_sub(previous.returned);
        self.bucket.tokens += returned as f64;
        // Tokens of grants that the host has not received yet count as held.
        let in_flight = previous.granted.saturating_sub(report.granted);
        HostLease {
            granted: previous.granted,
            returned: previous.returned + returned,
            spent: report.spent,
            held: report.held + in_flight as i64,
            want: report.want,
            remainder: previous.remainder,
            reported_at: now,
        }
    }

    /// Returns the lease of a host whose counts don't belong to this term, or that has no lease: this is its first
    /// report to this leader, it has restarted, or it has not received a grant of this term yet. What it has admitted
    /// on its own since this leader's term began is unknown and counts as its share of the limit.
    fn new_lease(
        &mut self,
        now: Millis,
        host: &HostName,
        report: QuotaReport,
        params: &PoolParams,
    ) -> HostLease {
        let window_length = params.tolerance.window;
        let unobserved = now.since(self.started).min(window_length);
        let share = params.tolerance.window_limit(params.limit) / params.schedulers.max(1) as f64;
        let admitted_count = share * unobserved.0 as f64 / window_length.0.max(1) as f64;
        // The window was filled as if all earlier tokens had been spent, so the tokens that the host still holds are
        // subtracted. This is done only at its first report, since the host reports them again until it receives a
        // grant.
        let unspent = match self.leases.contains_key(host) {
            true => 0.0,
            false => report.held.max(0) as f64,
        };
        self.admitted_window(params)
            .add(now, admitted_count - unspent);
        HostLease {
            granted: 0,
            returned: 0,
            spent: report.spent,
            held: report.held,
            want: report.want,
            remainder: 0.0,
            reported_at: now,
        }
    }
}
