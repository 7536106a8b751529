//! Estimates a server's load, slowness and failure rate from its responses and load reports.

use chicoryrail_core::Millis;

use crate::LoadReport;

/// Failure of a send without a usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The server had no capacity and did not run the request.
    Full,
    /// The connection failed, or the response was not valid.
    Broken,
    /// The connection failed since the server has ended, and the route tolerates waiting.
    Ended,
    /// The server responded with a server error.
    Error,
    /// No response arrived in time.
    Silent,
    /// No response arrived for longer than almost all responses of the route take, and the route tolerates waiting.
    Unanswered,
}

/// Half-life of the reported requests of other hosts. It is about the time of one request, after which the server has
/// done most of the work that it had at the time of the report.
const OTHERS_HALF_LIFE_MS: f64 = 150.0;
/// Half-life of a reported slowdown. The slowdown depends on the other programs on the same machine and changes several
/// times a second.
const SLOWDOWN_HALF_LIFE_MS: f64 = 200.0;
/// Weight of a new observation in the mean slowness of a server. It is low, as single requests differ by a factor of
/// two.
const SLOWNESS_SMOOTHING: f64 = 0.06;
/// Weight of a new observation in the failure rate.
const FAILURE_SMOOTHING: f64 = 0.12;
/// Half-life of the failure rate, so that a server that received no requests for a while is tried again.
const FAILURE_HALF_LIFE_MS: f64 = 2_500.0;
/// Time for which a server that refused a request as full gets no more.
const FULL_SERVER_PAUSE: Millis = Millis(30);
/// Time of refusals without a response in between from which a server counts as one that refuses everything: a full one
/// completes some of its requests. Its pause doubles with each further refusal, up to [`REFUSING_SERVER_PAUSE_MAX`].
const REFUSING_TIME_MIN: Millis = Millis(1_000);
/// Longest pause of a server that refuses everything, after which it gets one more request.
const REFUSING_SERVER_PAUSE_MAX: Millis = Millis(1_920);
/// Step of the pause of a server whose connections fail: none after the first failure, then one step more after each,
/// up to three. Each host tries a lost server again after the pause.
const BROKEN_SERVER_PAUSE: Millis = Millis(250);

/// State of one server as one host sees it.
#[derive(Clone, Debug)]
pub(crate) struct ServerView {
    pub(crate) slots: u32,
    /// Own requests in flight.
    pub(crate) own_requests: u32,
    /// Requests of other hosts at `reported_at`; this number decays.
    other_requests: f64,
    /// Time for work by the last load report, relative to the server's usual time; decays from `reported_at`.
    slowdown: f64,
    /// Time of the last load report, or of the last refusal as full.
    reported_at: Millis,
    /// Mean time for work, relative to a usual server and without the reported slowdowns.
    pub(crate) mean_slowness: f64,
    /// Failure rate at `failure_rate_at`.
    failure_rate: f64,
    /// Time at which the failure rate was last updated.
    failure_rate_at: Millis,
    paused_until: Millis,
    /// Number of broken sends since the last successful response.
    broken_sends: u32,
    /// When the server first refused a request after the last response; `None` if it did not.
    refusing_since: Option<Millis>,
    /// Number of refusals in a row after [`REFUSING_TIME_MIN`].
    refusals: u32,
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
            failure_rate_at: Millis::ZERO,
            paused_until: Millis::ZERO,
            broken_sends: 0,
            refusing_since: None,
            refusals: 0,
        }
    }

    /// Estimates the number of requests of all hosts at the server.
    pub(crate) fn load(&self, now: Millis) -> f64 {
        f64::from(self.own_requests)
            + self.other_requests * decay(now, self.reported_at, OTHERS_HALF_LIFE_MS)
    }

    /// Estimates the current time for work, relative to a usual server without a slowdown.
    pub(crate) fn slowness(&self, now: Millis) -> f64 {
        let slowdown =
            1.0 + (self.slowdown - 1.0) * decay(now, self.reported_at, SLOWDOWN_HALF_LIFE_MS);
        (self.mean_slowness * slowdown).max(0.05)
    }

    /// Estimates the fraction of requests that fail.
    pub(crate) fn failure_rate(&self, now: Millis) -> f64 {
        self.failure_rate * decay(now, self.failure_rate_at, FAILURE_HALF_LIFE_MS)
    }

    /// Returns `true` if the server gets no requests now because it was full or its connections failed.
    pub(crate) fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Returns how much longer the server gets no requests.
    pub(crate) fn pause_left(&self, now: Millis) -> Millis {
        self.paused_until.since(now)
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
    /// request found a free slot; only then the mean slowness is updated.
    pub(crate) fn record_response(
        &mut self,
        now: Millis,
        elapsed_us: f64,
        usual_us: f64,
        had_slot: bool,
    ) {
        self.record_outcome(now, false);
        self.broken_sends = 0;
        self.end_refusals();
        if had_slot && usual_us > 0.0 {
            let slowdown =
                1.0 + (self.slowdown - 1.0) * decay(now, self.reported_at, SLOWDOWN_HALF_LIFE_MS);
            let observed = (elapsed_us / usual_us / slowdown.max(0.05)).clamp(0.2, 5.0);
            self.mean_slowness += (observed - self.mean_slowness) * SLOWNESS_SMOOTHING;
        }
    }

    /// Records a failure, and pauses the server if it is full or its connections fail repeatedly. Returns the pause of a
    /// server whose connections fail, or that refuses everything.
    pub(crate) fn record_failure(&mut self, now: Millis, failure: Failure) -> Option<Millis> {
        match failure {
            Failure::Full => {
                let since = *self.refusing_since.get_or_insert(now);
                if now.since(since) >= REFUSING_TIME_MIN {
                    self.refusals = self.refusals.saturating_add(1);
                }
                let pause = refusal_pause(self.refusals);
                self.paused_until = self.paused_until.max(now + pause);
                self.other_requests = self.other_requests.max(f64::from(self.slots));
                self.reported_at = now;
                return Some(pause).filter(|p| *p > FULL_SERVER_PAUSE);
            }
            Failure::Broken | Failure::Ended => {
                self.record_outcome(now, true);
                self.broken_sends += 1;
                let pause =
                    BROKEN_SERVER_PAUSE.saturating_mul(u64::from(self.broken_sends.min(4)) - 1);
                self.paused_until = self.paused_until.max(now + pause);
                return Some(pause).filter(|p| *p > Millis::ZERO);
            }
            Failure::Error => {
                self.record_outcome(now, true);
                self.end_refusals();
            }
            Failure::Silent | Failure::Unanswered => self.record_outcome(now, true),
        }
        None
    }

    fn end_refusals(&mut self) {
        self.refusing_since = None;
        self.refusals = 0;
    }

    fn record_outcome(&mut self, now: Millis, failed: bool) {
        let before = self.failure_rate(now);
        self.failure_rate = before + (f64::from(u8::from(failed)) - before) * FAILURE_SMOOTHING;
        self.failure_rate_at = now;
    }
}

/// Returns the pause of a server that refused a request, after this many refusals for which it counts as refusing
/// everything.
fn refusal_pause(refusals: u32) -> Millis {
    FULL_SERVER_PAUSE
        .saturating_mul(2_u64.saturating_pow(refusals))
        .min(REFUSING_SERVER_PAUSE_MAX)
}

/// Returns the fraction of a value that is left after the time since `since`, given its half-life in milliseconds.
fn decay(now: Millis, since: Millis, half_life: f64) -> f64 {
    0.5_f64.powf(now.since(since).0 as f64 / half_life)
}
