//! One incarnation of a server: from its start until it ends.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::DcName;
use chicoryrail_core::Life;
use chicoryrail_core::Member;
use chicoryrail_core::Millis;
use chicoryrail_policy::AdvertisedLimit;
use chicoryrail_policy::AdvertisedRate;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerNotices;
use chicoryrail_policy::ServerPath;
use chicoryrail_policy::Share;
use chicoryrail_runtime::ServerPool;
use http::HeaderValue;

/// Divisor of the drain time: if no other server is ready, a draining server still receives requests in the first half
/// of its drain time. The rest covers the delay until this host learns of the drain and the transit of the request.
const DRAIN_DIVISOR: u64 = 2;

/// Time for which a server that was found to accept connections counts as alive.
const ALIVE_TIME: Millis = Millis(200);

/// Which requests a server may receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// New requests.
    Open,
    /// New requests until this time, and only if no other server is ready.
    Draining(Millis),
    /// No requests.
    Closed,
}

/// One incarnation of a server, with its connections, limits and warm-up state.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) life: Life,
    pub(crate) id: ServerId,
    pub(crate) addr: SocketAddr,
    pub(crate) dc: DcName,
    /// When this host first learned of this incarnation at this address.
    pub(crate) first_seen: Millis,
    /// Value of the request header that names the expected server.
    pub(crate) expect_header: HeaderValue,
    pub(crate) pool: Rc<ServerPool>,
    /// Latest end of a warm-up that the server has reported; zero if it has reported none.
    pub(crate) warmup_until: Cell<Millis>,
    /// When this host learned of that warm-up.
    pub(crate) warmup_since: Cell<Millis>,
    /// Rate limit that the server's responses advertise.
    pub(crate) limit: Cell<AdvertisedLimit>,
    /// Path of this host to the server.
    pub(crate) path: Cell<ServerPath>,
    /// When the server was last found to accept connections after one of them broke.
    pub(crate) found_alive: Cell<Option<Millis>>,
    /// What the server's responses asked of this host.
    pub(crate) notices: Cell<ServerNotices>,
    /// Maximum number of concurrent requests.
    pub(crate) slots: Cell<u32>,
    /// Share of the slots and of the key weight that an operator leaves the server.
    pub(crate) share: Cell<Share>,
    pub(crate) admission: Cell<Admission>,
    /// Whether this host schedules the requests for the server; `None` until that is determined.
    pub(crate) scheduled_here: Cell<Option<bool>>,
    /// When that was last determined to have changed.
    pub(crate) scheduled_since: Cell<Millis>,
    /// When this host began to schedule the requests in place of another one, if most routes to the service tolerate
    /// waiting.
    pub(crate) taken_over_at: Cell<Option<Millis>>,
    /// Set of schedulers, by number, for which that was determined.
    pub(crate) scheduled_generation: Cell<u64>,
}

impl Target {
    /// Creates the target of a server that gets no requests yet.
    pub(super) fn new(
        member: &Member,
        id: ServerId,
        now: Millis,
        expect_header: HeaderValue,
        notices: ServerNotices,
    ) -> Self {
        Self {
            life: member.life.clone(),
            id,
            addr: member.addr,
            dc: member.dc.clone(),
            first_seen: now,
            expect_header,
            pool: Rc::default(),
            warmup_until: Cell::default(),
            warmup_since: Cell::default(),
            limit: Cell::default(),
            path: Cell::default(),
            found_alive: Cell::default(),
            notices: Cell::new(notices),
            slots: Cell::new(member.slots),
            share: Cell::new(Share::ALL),
            admission: Cell::new(Admission::Closed),
            scheduled_here: Cell::new(None),
            scheduled_since: Cell::default(),
            taken_over_at: Cell::new(None),
            scheduled_generation: Cell::new(0),
        }
    }

    /// Returns `true` if the server accepts new requests without restriction.
    pub(crate) fn is_ready(&self) -> bool {
        self.admission.get() == Admission::Open
    }

    /// Returns `true` if the server may receive new requests now; a draining server may until its end time.
    pub(crate) fn accepts_requests(&self, now: Millis) -> bool {
        match self.admission.get() {
            Admission::Open => true,
            Admission::Draining(end) => now < end,
            Admission::Closed => false,
        }
    }

    /// Returns `true` if connections to the server may be kept for further requests.
    pub(crate) fn keeps_connections(&self) -> bool {
        self.is_ready() && !self.notices.get().is_draining()
    }

    /// Returns `true` if a broken connection may mean that the server has ended. A server that is draining ends as it said.
    /// One that was just found alive resets connections, perhaps as it is full, and is not checked each time.
    pub(crate) fn may_have_ended(&self, now: Millis) -> bool {
        let found_lately = self
            .found_alive
            .get()
            .is_some_and(|at| now.since(at) < ALIVE_TIME);
        self.keeps_connections() && !found_lately
    }

    /// Returns the number of slots that requests may use: those of the entry, or an operator's share of them.
    pub(crate) fn usable_slots(&self) -> u32 {
        self.share.get().of_slots(self.slots.get())
    }

    /// Returns `true` if the server is warming up.
    pub(crate) fn is_warming_up(&self, now: Millis) -> bool {
        now < self.warmup_until.get()
    }

    /// Records the rate limit that a response advertised, and logs it if it changed; returns `true` if so.
    pub(crate) fn record_rate_limit(&self, now: Millis, advertised: AdvertisedRate) -> bool {
        let mut limit = self.limit.get();
        let has_changed = limit.record(now, advertised);
        if has_changed {
            let from = self.limit.get().rate(now);
            log::info!(server:% = self.life, from:? = from, to:? = limit.rate(now); "server_limit");
        }
        self.limit.set(limit);
        has_changed
    }

    /// Records that a response said that the server is draining, and logs the first such response. `heard_in` is the
    /// id of its request, or the name of the call.
    pub(crate) fn record_drain(&self, now: Millis, heard_in: &str) {
        let mut notices = self.notices.get();
        if notices.record_drain(now) {
            self.notices.set(notices);
            self.pool.close_idle();
            log::info!(heard_in = heard_in, server:% = self.life, entry:? = self.admission.get();
                "server_draining");
        }
    }

    /// Records that the server refused a request and asked for no more for `time`.
    pub(crate) fn record_backoff(&self, now: Millis, time: Millis) {
        let mut notices = self.notices.get();
        notices.record_backoff(now, time);
        self.notices.set(notices);
    }

    /// Extends the warm-up to `left` from now, and returns `true` if that is later than before; it is never shortened.
    pub(crate) fn extend_warmup(&self, now: Millis, left: Millis) -> bool {
        let until = self.warmup_until.get();
        let is_longer = left > Millis::ZERO && now + left > until;
        if is_longer {
            if !self.is_warming_up(now) {
                self.warmup_since.set(now);
            }
            self.warmup_until.set(now + left);
        }
        is_longer
    }
}

/// Returns until when a server that began to drain at `since` may receive requests.
pub(crate) fn drain_end(since: Millis, drain: Millis) -> Millis {
    since + Millis(drain.0 / DRAIN_DIVISOR)
}
