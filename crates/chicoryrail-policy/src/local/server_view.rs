//! State of one server as one host sees it.

use chicoryrail_core::Millis;

use crate::LoadReport;

/// Failure of a send without a usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The server had no capacity and did not run the request.
    Full,
    /// The connection failed, or the response was not valid.
    Broken,
    /// The server responded with a server error.
    Error,
    /// No response arrived in time.
    Silent,
}

/// Half-life of the reported requests of other hosts. It is about the time of one request, after which most of the
/// server's work at the time of the report is done.
const OTHERS_HALF_LIFE_MS: f64 = 150.0;
/// Half-life of a reported slowdown. It depends on the other programs on the same machine and changes several times a
/// second.
const SLOWDOWN_HALF_LIFE_MS: f64 = 200.0;
/// Weight of a new observation in the mean slowness of a server. Single requests differ by a factor of two.
const SLOWNESS_SMOOTHING: f64 = 0.06;
/// Weight of a new observation in the failure rate.
const FAILURE_SMOOTHING: f64 = 0.12;
/// Half-life of the failure rate, so that a server that received no requests for a while is tried again.
const FAILURE_HALF_LIFE_MS: f64 = 2_500.0;
/// Pause of a server that reported that it is full.
const FULL_SERVER_PAUSE: Millis = Millis(30);
/// Step of the pause of a server whose connections fail: none after the first failure, then one step more after each,
/// up to three. Each host tries a lost server again after this pause.
const BROKEN_SERVER_PAUSE: Millis = Millis(250);

/// State of one server as one host sees it.
#[derive(Clone, Debug)]
pub(crate) struct ServerView {
    pub(crate) slots: u32,
    /// Own requests in flight.
    pub(crate) own_requests: u32,
    other_requests: f64,
    slowdown: f64,
    reported_at: Millis,
    /// Mean time for work, relative to the other servers.
    pub(crate) mean_slowness: f64,
    failure_rate: f64,
    failures_at: Millis,
    paused_until: Millis,
    broken_sends: u32,
}

impl ServerView {
    pub(crate) const fn new(slots: u32) -> Self {
        Self {
            slots,
            own_requests: 0,
            other_requests: 0.0,
            slowdown: 1.0,
            reported_at: Millis::ZERO,
            mean_slowness: 1.0,
            failure_rate: 0.0,
            failures_at: Millis::ZERO,
            paused_until: Millis::ZERO,
            broken_sends: 0,
        }
    }

    /// Estimates the number of requests of all hosts at the server.
    pub(crate) fn load(&self, now: Millis) -> f64 {
        f64::from(self.own_requests)
            + self.other_requests * decay(now, self.reported_at, OTHERS_HALF_LIFE_MS)
    }

    /// Estimates the time for work, relative to a usual server without a slowdown.
    pub(crate) fn slowness(&self, now: Millis) -> f64 {
        let slowdown =
            1.0 + (self.slowdown - 1.0) * decay(now, self.reported_at, SLOWDOWN_HALF_LIFE_MS);
        (self.mean_slowness * slowdown).max(0.05)
    }

    /// Estimates the fraction of requests that fail.
    pub(crate) fn failure_rate(&self, now: Millis) -> f64 {
        self.failure_rate * decay(now, self.failures_at, FAILURE_HALF_LIFE_MS)
    }

    /// Returns `true` if the server is paused and gets no requests for a moment.
    pub(crate) fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Applies a load report. The requests in it beyond `own_requests` belong to other hosts.
    pub(crate) fn apply_report(&mut self, now: Millis, report: LoadReport) {
        self.slots = report.slots.max(1);
        let total = f64::from(report.running + report.waiting);
        self.other_requests = (total - f64::from(self.own_requests)).max(0.0);
        self.slowdown = f64::from(report.slowdown_percent) / 100.0;
        self.reported_at = now;
    }

    /// Records that a response took `elapsed_us` where a usual server takes `usual_us`. `had_slot` is `true` if the
    /// request found a free slot.
    pub(crate) fn record_response(
        &mut self,
        now: Millis,
        elapsed_us: f64,
        usual_us: f64,
        had_slot: bool,
    ) {
        self.record_outcome(now, false);
        self.broken_sends = 0;
        if had_slot && usual_us > 0.0 {
            let slowdown =
                1.0 + (self.slowdown - 1.0) * decay(now, self.reported_at, SLOWDOWN_HALF_LIFE_MS);
            let observed = (elapsed_us / usual_us / slowdown.max(0.05)).clamp(0.2, 5.0);
            self.mean_slowness += (observed - self.mean_slowness) * SLOWNESS_SMOOTHING;
        }
    }

    /// Records a failure.
    pub(crate) fn record_failure(&mut self, now: Millis, failure: Failure) {
        match failure {
            Failure::Full => {
                self.paused_until = self.paused_until.max(now + FULL_SERVER_PAUSE);
                self.other_requests = self.other_requests.max(f64::from(self.slots));
                self.reported_at = now;
            }
            Failure::Broken => {
                self.record_outcome(now, true);
                self.broken_sends += 1;
                let pause =
                    BROKEN_SERVER_PAUSE.saturating_mul(u64::from(self.broken_sends.min(4)) - 1);
                self.paused_until = self.paused_until.max(now + pause);
            }
            Failure::Error | Failure::Silent => self.record_outcome(now, true),
        }
    }

    fn record_outcome(&mut self, now: Millis, failed: bool) {
        let before = self.failure_rate(now);
        self.failure_rate = before + (f64::from(u8::from(failed)) - before) * FAILURE_SMOOTHING;
        self.failures_at = now;
    }
}

/// Returns the fraction of a value that is left after the time since `since`, given its half-life in milliseconds.
fn decay(now: Millis, since: Millis, half_life: f64) -> f64 {
    0.5_f64.powf(now.since(since).0 as f64 / half_life)
}
