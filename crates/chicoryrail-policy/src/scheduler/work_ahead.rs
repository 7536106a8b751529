//! Sums the work of the requests ahead in a queue.

use crate::scheduler::Placement;

/// Work of the requests ahead of the next one in the queue, by placement.
#[derive(Debug, Default)]
pub(crate) struct WorkAhead {
    work_us: Vec<(Placement, f64)>,
}

impl WorkAhead {
    /// Returns the work ahead of a request with this placement, in microseconds.
    pub(crate) fn of(&mut self, placement: Placement) -> &mut f64 {
        let at = self.work_us.iter().position(|(p, _)| *p == placement);
        let at = at.unwrap_or_else(|| {
            self.work_us.push((placement, 0.0));
            self.work_us.len() - 1
        });
        &mut self.work_us[at].1
    }
}
