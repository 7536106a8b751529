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
}

impl ServiceTimes {
    pub(crate) fn new(prior_us: u32) -> Self {
        Self {
            present: [Estimate::new(prior_us); 3],
            usual: [Estimate::new(prior_us); 3],
        }
    }

    /// Takes in an answer; `sound` tells that neither it nor its server is slow.
    pub(crate) fn add(&mut self, now: Millis, class: Class, us: u32, sound: bool) {
        self.present[class as usize].add(us);
        self.usual[class as usize].add_usual(now, us, sound);
    }

    pub(crate) const fn present(&self, class: Class) -> f64 {
        self.present[class as usize].us()
    }

    pub(crate) const fn usual(&self, class: Class) -> f64 {
        self.usual[class as usize].us()
    }
}
