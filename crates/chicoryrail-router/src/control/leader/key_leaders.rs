//! The leaders of the keyed services.

use std::cell::RefCell;
use std::rc::Rc;

use crate::control::leader::key_leader::KeyLeader;

/// Leaders of the keyed services in the current term; none while this host does not lead.
#[derive(Debug, Default)]
pub(crate) struct KeyLeaders(RefCell<Vec<Rc<KeyLeader>>>);

impl KeyLeaders {
    /// Adds the leader of a service.
    pub(super) fn add(&self, leader: Rc<KeyLeader>) {
        self.0.borrow_mut().push(leader);
    }

    /// Removes all leaders, at the end of their term.
    pub(super) fn clear(&self) {
        self.0.borrow_mut().clear();
    }

    /// Returns the leaders of a term.
    pub(super) fn of_term(&self, term: u64) -> Vec<Rc<KeyLeader>> {
        let leaders = self.0.borrow();
        leaders.iter().filter(|l| l.term == term).cloned().collect()
    }
}
