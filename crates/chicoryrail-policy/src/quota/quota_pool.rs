//! Tokens of one organisation at the leader.

use std::collections::BTreeMap;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::QuotaLimit;

use crate::quota::QuotaGrant;
use crate::quota::QuotaReport;
use crate::quota::QuotaTolerance;
use crate::quota::sliding_window::SlidingWindow;
use crate::quota::token_bucket::TokenBucket;

/// Time without a report after which a host's tokens count as spent.
const REPORT_TIMEOUT: Millis = Millis(3_000);

/// Tokens of one organisation at the leader.
///
/// Guards against admitting more than the limit when many schedulers each receive a changing fraction of an
/// organisation's requests and none sees all of them. In any window, the admitted requests and the unused tokens at
/// schedulers together stay within the limit. Within that limit a flood is spread over the window; otherwise it would
/// be served whole at first and then not at all.
#[derive(Clone, Debug)]
pub struct QuotaPool {
    started: Millis,
    /// Admitted requests; `None` before the first report.
    admitted: Option<SlidingWindow>,
    bucket: TokenBucket,
    leases: BTreeMap<HostName, HostLease>,
}

/// Tokens leased to one host.
#[derive(Clone, Copy, Debug, Default)]
struct HostLease {
    granted: u64,
    returned: u64,
    /// Requests that the host has admitted, by its last report.
    spent: i64,
    held: i64,
    want: u64,
    /// Fractional tokens left over from the host's last grants. They add up, so that few tokens go to each host in
    /// turn.
    remainder: f64,
    reported_at: Millis,
}

impl HostLease {
    /// Returns the number of tokens that the host lacks.
    fn need(&self) -> f64 {
        (self.want as i64 - self.held).max(0) as f64
    }
}

/// Limits within which the leader grants tokens.
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
    /// Returns the number of tokens that may be granted in addition to the limit.
    fn burst_extra(&self) -> f64 {
        self.tolerance.burst_extra(self.limit)
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

    /// Applies a host's report and grants it the tokens that it lacks, as far as available.
    pub fn report(
        &mut self,
        now: Millis,
        host: &HostName,
        report: QuotaReport,
        params: &PoolParams,
    ) -> QuotaGrant {
        self.expire_unreported(now);
        self.apply_report(now, host, report, params);
        let in_window = self.free_in_window(now, params);
        let available = in_window.min(self.bucket.tokens);
        let needs: f64 = self.leases.values().map(HostLease::need).sum();
        let lease = self.leases.entry(host.clone()).or_default();
        // With too few tokens for all, the host that reports first leaves the others their shares.
        let share = lease.need() * available.max(0.0) / needs.max(1.0) + lease.remainder;
        lease.remainder = share.fract();
        let new_tokens = lease
            .need()
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

    /// Returns the tokens left in the window, and refills the bucket of tokens that may be granted at once.
    fn free_in_window(&mut self, now: Millis, params: &PoolParams) -> f64 {
        let window = params.tolerance.window;
        let window_limit = params.tolerance.window_limit(params.limit);
        let limit = window_limit * params.connected_fraction.clamp(0.0, 1.0);
        let held: i64 = self.leases.values().map(|l| l.held.max(0)).sum();
        let admitted = self.window(params).count(now);
        let rate = limit * 1_000.0 / window.0.max(1) as f64;
        let capacity = (params.limit.burst + params.burst_extra() - held as f64).max(0.0);
        self.bucket.refill(now, rate, capacity);
        limit + params.burst_extra() - admitted - held as f64
    }

    /// Returns the admitted requests in the window. The leader does not know what was admitted before its term, so it
    /// assumes as much as the limit allows, with the burst as late as possible.
    fn window(&mut self, params: &PoolParams) -> &mut SlidingWindow {
        let QuotaTolerance { window, .. } = params.tolerance;
        let limit = params.limit;
        self.admitted.get_or_insert_with(|| {
            let window_limit = params.tolerance.window_limit(limit);
            let mut admitted =
                SlidingWindow::filled(self.started, window, window_limit - limit.burst);
            admitted.add(self.started, limit.burst + params.burst_extra());
            admitted
        })
    }

    /// Counts the tokens of hosts that no longer report as spent.
    fn expire_unreported(&mut self, now: Millis) {
        let overdue = self.leases.values_mut();
        let overdue = overdue.filter(|l| now.since(l.reported_at) > REPORT_TIMEOUT);
        let held = overdue.map(|l| {
            l.want = 0;
            std::mem::take(&mut l.held).max(0)
        });
        let held: i64 = held.sum();
        if let Some(admitted) = self.admitted.as_mut().filter(|_| held > 0) {
            admitted.add(now, held as f64);
        }
    }

    /// Updates a host's lease from its report.
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

    fn update_lease(
        &mut self,
        now: Millis,
        previous: HostLease,
        report: QuotaReport,
        params: &PoolParams,
    ) -> HostLease {
        let spent = report.spent - previous.spent;
        self.window(params).add(now, spent as f64);
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

    /// Returns the lease of a host that reports another term: the host restarted, or its grants of this term were lost.
    /// What it admitted on its own since this leader's term began is unknown and counts as its share of the limit.
    fn new_lease(
        &mut self,
        now: Millis,
        host: &HostName,
        report: QuotaReport,
        params: &PoolParams,
    ) -> HostLease {
        let window = params.tolerance.window;
        let unobserved = now.since(self.started).min(window);
        let share = params.tolerance.window_limit(params.limit) / params.schedulers.max(1) as f64;
        let admitted = share * unobserved.0 as f64 / window.0.max(1) as f64;
        // Tokens that the host still holds were not spent, although the window assumes that all tokens were. The host
        // repeats its report until it receives a reply, so they are subtracted only once.
        let unspent = match self.leases.contains_key(host) {
            true => 0.0,
            false => report.held.max(0) as f64,
        };
        self.window(params).add(now, admitted - unspent);
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
