//! One start of a server.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;

use chicoryrail_core::DcName;
use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_policy::ColdPace;
use chicoryrail_policy::RateNotice;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerLimit;
use chicoryrail_runtime::ServerPool;
use http::HeaderValue;

/// Part of the drain time in which a leaving server still gets work where there is no other: the rest
/// covers the time in which this host hears of the leave and the request is on its way.
const DRAIN_PART: u64 = 2;

/// What a server may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Intake {
    /// New work.
    Open,
    /// New work until this point, and only where no other server is open.
    Until(Millis),
    /// Nothing.
    Closed,
}

/// One start of a server.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) life: Life,
    pub(crate) id: ServerId,
    pub(crate) addr: SocketAddr,
    pub(crate) dc: DcName,
    /// When this host first heard of it.
    pub(crate) known: Millis,
    /// Value of the header that names the expected server.
    pub(crate) header: HeaderValue,
    pub(crate) pool: ServerPool,
    pub(crate) cold: RefCell<ColdPace>,
    /// When the server is warm, as far as is known.
    pub(crate) cold_until: Cell<Millis>,
    /// The rate of requests that the server takes, as its answers said.
    pub(crate) limit: Cell<ServerLimit>,
    /// Requests that the server works on at a time.
    pub(crate) slots: Cell<u32>,
    pub(crate) intake: Cell<Intake>,
    /// Whether this host schedules the requests for it; `None` until that was looked at.
    pub(crate) ours: Cell<Option<bool>>,
}

impl Target {
    /// Tells whether the server takes new work.
    pub(crate) fn is_ready(&self) -> bool {
        self.intake.get() == Intake::Open
    }

    /// Tells whether the server may get work now.
    pub(crate) fn may_get(&self, now: Millis) -> bool {
        match self.intake.get() {
            Intake::Open => true,
            Intake::Until(end) => now < end,
            Intake::Closed => false,
        }
    }

    /// Tells whether the server is cold.
    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until.get()
    }

    /// Takes in what an answer said of the rate that the server takes, and logs where that is news.
    pub(crate) fn hear_limit(&self, now: Millis, notice: RateNotice) {
        let mut limit = self.limit.get();
        if limit.heard(now, notice) {
            let from = self.limit.get().rate(now);
            log::info!(server:% = self.life, from:? = from, to:? = limit.rate(now); "server_limit");
        }
        self.limit.set(limit);
    }

    /// Takes in how much longer the server stays cold.
    pub(crate) fn cold_for(&self, now: Millis, left: Millis) {
        if left > Millis::ZERO {
            self.cold_until.set(self.cold_until.get().max(now + left));
        }
    }
}

/// Returns until when a server that announced its leave at `since` may get work.
pub(crate) fn drain_end(since: Millis, drain: Millis) -> Millis {
    since + Millis(drain.0 / DRAIN_PART)
}
