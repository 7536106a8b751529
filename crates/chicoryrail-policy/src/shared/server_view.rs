//! What one host knows of one server.

use chicoryrail_core::Millis;

use crate::LoadReport;

/// How a send ended without the server's answer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The server had no room and did not run the request.
    Full,
    /// The connection failed, or what came was no answer.
    Broken,
    /// The server answered that it failed.
    Error,
    /// No answer came in time.
    Silent,
}

/// Time in which half of what a report said of the other hosts' work is forgotten: about the time of one
/// request, after which most of what the server had then is done.
const OTHERS_HALF_LIFE_MS: f64 = 150.0;
/// Time in which half of what a report said of the server's pace is forgotten. It changes with its
/// neighbours on the same machine, several times a second.
const PACE_HALF_LIFE_MS: f64 = 200.0;
/// Part of a new observation in the mean of a server's speed. Single requests differ by a factor of two.
const SPEED_SMOOTHING: f64 = 0.06;
/// Part of a new observation in the mean share of failures.
const FAILURE_SMOOTHING: f64 = 0.12;
/// Time in which half of the failures are forgotten, so that a server that got none for a while is tried
/// again.
const FAILURE_HALF_LIFE_MS: f64 = 2_500.0;
/// Rest of a server that said it is full.
const FULL_SERVER_PAUSE: Millis = Millis(30);
/// Rest of a server whose connections fail. One that is gone is tried by each host this often.
const BROKEN_SERVER_PAUSE: Millis = Millis(250);

/// What one host knows of one server.
#[derive(Clone, Debug)]
pub(crate) struct ServerView {
    pub(crate) slots: u32,
    /// Own requests in flight.
    pub(crate) own: u32,
    others: f64,
    pace: f64,
    told: Millis,
    /// How long the server takes, relative to the others.
    pub(crate) speed: f64,
    fails: f64,
    failed: Millis,
    rests: Millis,
    broken: u32,
}

impl ServerView {
    pub(crate) const fn new(slots: u32) -> Self {
        Self {
            slots,
            own: 0,
            others: 0.0,
            pace: 1.0,
            told: Millis::ZERO,
            speed: 1.0,
            fails: 0.0,
            failed: Millis::ZERO,
            rests: Millis::ZERO,
            broken: 0,
        }
    }

    /// Estimates the requests at the server, of all hosts.
    pub(crate) fn load(&self, now: Millis) -> f64 {
        f64::from(self.own) + self.others * fade(now, self.told, OTHERS_HALF_LIFE_MS)
    }

    /// Estimates how long work takes, relative to a usual server at its usual pace.
    pub(crate) fn slowness(&self, now: Millis) -> f64 {
        let pace = 1.0 + (self.pace - 1.0) * fade(now, self.told, PACE_HALF_LIFE_MS);
        (self.speed * pace).max(0.05)
    }

    /// Estimates the share of requests that fail.
    pub(crate) fn fails(&self, now: Millis) -> f64 {
        self.fails * fade(now, self.failed, FAILURE_HALF_LIFE_MS)
    }

    /// Tells whether the server is left alone for a moment.
    pub(crate) fn rests(&self, now: Millis) -> bool {
        now < self.rests
    }

    /// Takes in what the server said; `own` requests of this host were still with it.
    pub(crate) fn heard(&mut self, now: Millis, report: LoadReport) {
        self.slots = report.slots.max(1);
        let all = f64::from(report.running + report.waiting);
        self.others = (all - f64::from(self.own)).max(0.0);
        self.pace = f64::from(report.pace) / 100.0;
        self.told = now;
    }

    /// Takes in that an answer took `us` where a usual server takes `usual_us`; `alone` tells whether
    /// the request found a free slot.
    pub(crate) fn took(&mut self, now: Millis, us: f64, usual_us: f64, alone: bool) {
        self.note_end(now, false);
        self.broken = 0;
        if alone && usual_us > 0.0 {
            let pace = 1.0 + (self.pace - 1.0) * fade(now, self.told, PACE_HALF_LIFE_MS);
            let seen = (us / usual_us / pace.max(0.05)).clamp(0.2, 5.0);
            self.speed += (seen - self.speed) * SPEED_SMOOTHING;
        }
    }

    /// Takes in a failure.
    pub(crate) fn failed(&mut self, now: Millis, failure: Failure) {
        match failure {
            Failure::Full => {
                self.rests = self.rests.max(now + FULL_SERVER_PAUSE);
                self.others = self.others.max(f64::from(self.slots));
                self.told = now;
            }
            Failure::Broken => {
                self.note_end(now, true);
                self.broken += 1;
                let rest = BROKEN_SERVER_PAUSE.times(u64::from(self.broken.min(4)) - 1);
                self.rests = self.rests.max(now + rest);
            }
            Failure::Error | Failure::Silent => self.note_end(now, true),
        }
    }

    fn note_end(&mut self, now: Millis, failed: bool) {
        let before = self.fails(now);
        self.fails = before + (f64::from(u8::from(failed)) - before) * FAILURE_SMOOTHING;
        self.failed = now;
    }
}

/// Returns what is left of a value after the time since `at`, where half of it goes in `half` ms.
fn fade(now: Millis, at: Millis, half: f64) -> f64 {
    0.5_f64.powf(now.since(at).0 as f64 / half)
}
