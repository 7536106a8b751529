//! The tokens of one organisation at the leader.

use std::collections::BTreeMap;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::QuotaLimit;

use crate::quota::Allowance;
use crate::quota::QuotaGrant;
use crate::quota::QuotaReport;
use crate::quota::refill::Refill;
use crate::quota::sliding_window::SlidingWindow;

/// Time without a report after which a host's tokens count as spent.
const REPORT_TIMEOUT: Millis = Millis(3_000);

/// The tokens of one organisation at the leader.
///
/// Load: many schedulers, each with a part of an organisation's requests that changes from moment to moment. Harm
/// prevented: more than the limit runs although no scheduler sees all. In any window no more runs, and lies unused at
/// schedulers, than the limit allows; within that, a flood is spread over the window in place of being served whole
/// and then not at all.
#[derive(Clone, Debug)]
pub struct QuotaPool {
    started: Millis,
    /// Requests that ran; `None` before the first report.
    ran: Option<SlidingWindow>,
    refill: Refill,
    lent: BTreeMap<HostName, Lent>,
}

/// Tokens at one host.
#[derive(Clone, Copy, Debug, Default)]
struct Lent {
    granted: u64,
    returned: u64,
    /// Requests that it let run, as it said last.
    spent: i64,
    held: i64,
    want: u64,
    /// Part of a token that its last parts came to beyond whole ones: of few tokens, each host gets one in turn.
    fraction: f64,
    heard: Millis,
}

impl Lent {
    /// Returns the tokens that the host lacks.
    fn need(&self) -> f64 {
        (self.want as i64 - self.held).max(0) as f64
    }
}

/// What the leader gives out of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolBound {
    /// Term of the leader.
    pub term: u64,
    /// The organisation's limit.
    pub limit: QuotaLimit,
    /// What may be exceeded of it.
    pub allowance: Allowance,
    /// Hosts that schedule.
    pub schedulers: usize,
    /// Part of the schedulers that this leader hears; the others spend their parts of the limit by themselves.
    pub heard_part: f64,
}

impl PoolBound {
    /// Returns the requests beyond the limit that may be given out.
    fn beside(&self) -> f64 {
        self.allowance.beside(self.limit)
    }
}

impl QuotaPool {
    /// Returns the pool of a leader that began to lead at `started`. What ran before it does not know, so it assumes
    /// as much as the limit allows.
    #[must_use]
    pub const fn from(started: Millis) -> Self {
        Self {
            started,
            ran: None,
            refill: Refill::from(started),
            lent: BTreeMap::new(),
        }
    }

    /// Takes in what a host reports, and gives it tokens for what it wants as far as there are.
    pub fn report(
        &mut self,
        now: Millis,
        host: &HostName,
        report: QuotaReport,
        bound: &PoolBound,
    ) -> QuotaGrant {
        self.forget_silent(now);
        self.take_in(now, host, report, bound);
        let in_window = self.free_in_window(now, bound);
        let free = in_window.min(self.refill.tokens);
        let needs: f64 = self.lent.values().map(Lent::need).sum();
        let lent = self.lent.entry(host.clone()).or_default();
        // Where there are too few for all, whoever reports first leaves the others their parts.
        let part = lent.need() * free.max(0.0) / needs.max(1.0) + lent.fraction;
        lent.fraction = part.fract();
        let given = lent.need().min(part.floor()).min(free.floor()).max(0.0);
        self.refill.tokens -= given;
        lent.granted += given as u64;
        lent.held += given as i64;
        QuotaGrant {
            term: bound.term,
            granted: lent.granted,
            exhausted: in_window - given < 1.0,
        }
    }

    /// Returns the tokens that the window leaves, and brings those up to date that may be given out at once.
    fn free_in_window(&mut self, now: Millis, bound: &PoolBound) -> f64 {
        let length = bound.allowance.window;
        let whole = bound.allowance.window_limit(bound.limit);
        let limit = whole * bound.heard_part.clamp(0.0, 1.0);
        let held: i64 = self.lent.values().map(|l| l.held.max(0)).sum();
        let ran = self.window(bound).count(now);
        let rate = limit * 1_000.0 / length.0.max(1) as f64;
        let most = (bound.limit.burst + bound.beside() - held as f64).max(0.0);
        self.refill.grow(now, rate, most);
        limit + bound.beside() - ran - held as f64
    }

    /// Returns what ran in the window. What ran before this leader began it does not know: as much as the limit allows,
    /// and the burst as late as can be.
    fn window(&mut self, bound: &PoolBound) -> &mut SlidingWindow {
        let Allowance { window, .. } = bound.allowance;
        let limit = bound.limit;
        self.ran.get_or_insert_with(|| {
            let whole = bound.allowance.window_limit(limit);
            let mut ran = SlidingWindow::filled(self.started, window, whole - limit.burst);
            ran.add(self.started, limit.burst + bound.beside());
            ran
        })
    }

    /// Counts the tokens of hosts that are not heard any more as spent.
    fn forget_silent(&mut self, now: Millis) {
        let silent = self.lent.values_mut();
        let silent = silent.filter(|l| now.since(l.heard) > REPORT_TIMEOUT);
        let held = silent.map(|l| {
            l.want = 0;
            std::mem::take(&mut l.held).max(0)
        });
        let held: i64 = held.sum();
        if let Some(ran) = self.ran.as_mut().filter(|_| held > 0) {
            ran.add(now, held as f64);
        }
    }

    /// Brings what is known of a host's tokens up to date.
    fn take_in(&mut self, now: Millis, host: &HostName, report: QuotaReport, bound: &PoolBound) {
        let known = self.lent.get(host).copied();
        let known = known.filter(|_| report.term == bound.term);
        let lent = match known {
            Some(known) => self.take_change(now, known, report, bound),
            None => self.take_unknown(now, host, report, bound),
        };
        self.lent.insert(host.clone(), lent);
    }

    fn take_change(
        &mut self,
        now: Millis,
        known: Lent,
        report: QuotaReport,
        bound: &PoolBound,
    ) -> Lent {
        let spent = report.spent - known.spent;
        self.window(bound).add(now, spent as f64);
        let returned = report.returned.saturating_sub(known.returned);
        self.refill.tokens += returned as f64;
        // Tokens that are on their way count as held.
        let under_way = known.granted.saturating_sub(report.granted);
        Lent {
            granted: known.granted,
            returned: known.returned + returned,
            spent: report.spent,
            held: report.held + under_way as i64,
            want: report.want,
            fraction: known.fraction,
            heard: now,
        }
    }

    /// Takes in a host that says another term: it started anew, or what it was given in this term was lost. What it let
    /// run by itself since this leader began is not known, and counted as its part of the limit.
    fn take_unknown(
        &mut self,
        now: Millis,
        host: &HostName,
        report: QuotaReport,
        bound: &PoolBound,
    ) -> Lent {
        let length = bound.allowance.window;
        let alone = now.since(self.started).min(length);
        let part = bound.allowance.window_limit(bound.limit) / bound.schedulers.max(1) as f64;
        let ran = part * alone.0 as f64 / length.0.max(1) as f64;
        // What it still holds did not run, though it is assumed that all did which could. It says so again until an
        // answer reaches it.
        let unspent = match self.lent.contains_key(host) {
            true => 0.0,
            false => report.held.max(0) as f64,
        };
        self.window(bound).add(now, ran - unspent);
        Lent {
            granted: 0,
            returned: 0,
            spent: report.spent,
            held: report.held,
            want: report.want,
            fraction: 0.0,
            heard: now,
        }
    }
}
