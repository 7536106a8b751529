//! Changes of a service's servers, for the schedulers that follow them.

use std::collections::VecDeque;
use std::rc::Rc;

use crate::state::Target;

/// Number of changes that are kept. A scheduler that is further behind looks at every server.
const CHANGES_MAX: usize = 256;

/// The last changes of a service's servers, numbered.
#[derive(Debug, Default)]
pub(crate) struct ServerChanges {
    last: u64,
    recent: VecDeque<Rc<Target>>,
}

impl ServerChanges {
    /// Records that a server was added, removed or changed.
    pub(super) fn push(&mut self, target: &Rc<Target>) {
        self.last += 1;
        if self.recent.len() == CHANGES_MAX {
            self.recent.pop_front();
        }
        self.recent.push_back(Rc::clone(target));
    }

    /// Returns the number of the last change; 0 before the first.
    pub(crate) const fn last(&self) -> u64 {
        self.last
    }

    /// Returns the servers that changed after change number `seen`; `None` if that is no longer known.
    pub(crate) fn since(&self, seen: u64) -> Option<impl Iterator<Item = &Rc<Target>>> {
        let missed = self.last.checked_sub(seen)? as usize;
        let known = self.recent.len().checked_sub(missed)?;
        Some(self.recent.iter().skip(known))
    }
}
