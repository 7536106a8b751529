//! Estimates how much work arrives per unit of time.

use chicoryrail_core::Millis;

/// Length of a step. Ten of them make the window, so the estimate follows a change of load within a second.
const STEP: Millis = Millis(100);
/// Number of steps in the window.
const STEPS: usize = 10;

/// Work that arrived in about the last second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkRate {
    /// Work by step, in microseconds; the step with number `n` is at `n % STEPS`.
    steps: [f64; STEPS],
    /// Number of the latest step with work.
    latest: u64,
}

impl WorkRate {
    /// Records `work_us` microseconds of work that arrive now.
    pub(crate) fn record(&mut self, now: Millis, work_us: f64) {
        let step = now.0 / STEP.0;
        let passed = step.saturating_sub(self.latest).min(STEPS as u64);
        for n in 0..passed {
            self.steps[((step - n) % STEPS as u64) as usize] = 0.0;
        }
        self.latest = self.latest.max(step);
        self.steps[(step % STEPS as u64) as usize] += work_us;
    }

    /// Returns `true` if nothing was recorded in the last second.
    pub(crate) const fn is_idle(&self, now: Millis) -> bool {
        (now.0 / STEP.0).saturating_sub(self.latest) >= STEPS as u64
    }

    /// Returns the number of usual slots that the work of the last second occupies.
    pub(crate) fn busy_slots(&self, now: Millis) -> f64 {
        let passed = (now.0 / STEP.0).saturating_sub(self.latest);
        let recent = (STEPS as u64).saturating_sub(passed);
        let steps = (0..recent.min(self.latest + 1))
            .map(|n| self.steps[((self.latest - n) % STEPS as u64) as usize]);
        steps.sum::<f64>() / (STEP.0 * STEPS as u64 * 1_000) as f64
    }
}
