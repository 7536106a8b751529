//! Service times of a queue's servers by class.

use chicoryrail_core::Class;
use chicoryrail_core::Millis;

use crate::Estimate;

/// Service times of a queue's servers by class, in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTimes {
    /// Slow servers included: what a wait is computed from.
    present: [Estimate; 3],
    /// Of sound servers: what slowness is measured against.
    usual: [Estimate; 3],
    /// When a class was last answered.
    last: [Millis; 3],
}

/// Time without an answer after which half of a service time is still believed.
///
/// A second: where answers come, one comes far sooner.
const HALF_LIFE: Millis = Millis(1_000);

impl ServiceTimes {
    pub(crate) fn new(prior_us: u32) -> Self {
        Self {
            present: [Estimate::new(prior_us); 3],
            usual: [Estimate::new(prior_us); 3],
            last: [Millis::ZERO; 3],
        }
    }

    /// Takes in an answer; `sound` tells that neither it nor its server is slow.
    pub(crate) fn add(&mut self, now: Millis, class: Class, us: u32, sound: bool) {
        self.last[class as usize] = now;
        self.present[class as usize].add(us);
        self.usual[class as usize].add_usual(now, us, sound);
    }

    pub(crate) const fn present(&self, class: Class) -> f64 {
        self.present[class as usize].us()
    }

    /// Returns the service time for which a request is given up as hopeless.
    ///
    /// Load: servers were so slow that no request could finish in time any more. Harm prevented: all
    /// are refused, so none is answered, so the service time stays what it was, and the service
    /// refuses for good what it could do again. Without answers the time is therefore believed less
    /// and less.
    pub(crate) fn hopeless(&self, now: Millis, class: Class) -> f64 {
        let halvings = now.since(self.last[class as usize]).0 / HALF_LIFE.0;
        self.present(class) * 0.5_f64.powi(halvings.min(64) as i32)
    }

    pub(crate) const fn usual(&self, class: Class) -> f64 {
        self.usual[class as usize].us()
    }
}
