//! Requests that have asked the scheduler and wait for its reply.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use chicoryrail_runtime::Signal;

use crate::talk::SlotReply;

/// Requests that have asked the scheduler and wait for its reply.
#[derive(Debug, Default)]
pub(crate) struct Asks {
    waiting: RefCell<HashMap<u64, Rc<Waiting>>>,
    next: Cell<u64>,
}

/// One request's reply from the scheduler.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    reply: RefCell<Option<SlotReply>>,
    pub(crate) changed: Signal,
}

impl Waiting {
    /// Takes the last reply.
    pub(crate) fn take(&self) -> Option<SlotReply> {
        self.reply.borrow_mut().take()
    }
}

impl Asks {
    /// Opens a place for the scheduler's reply under a ticket that no other request of any host has; `instance`
    /// is the random number of this run.
    pub(crate) fn open(&self, instance: u64) -> (u64, Rc<Waiting>) {
        let next = self.next.get() + 1;
        self.next.set(next);
        let ticket = (instance << 24) ^ next;
        let waiting = Rc::new(Waiting::default());
        self.waiting
            .borrow_mut()
            .insert(ticket, Rc::clone(&waiting));
        (ticket, waiting)
    }

    /// Closes a place.
    pub(crate) fn close(&self, ticket: u64) {
        self.waiting.borrow_mut().remove(&ticket);
    }

    /// Takes in a reply of the scheduler; tells whether somebody waits for it.
    pub(crate) fn replied(&self, ticket: u64, reply: SlotReply) -> bool {
        let waiting = self.waiting.borrow().get(&ticket).cloned();
        let Some(waiting) = waiting else {
            return false;
        };
        *waiting.reply.borrow_mut() = Some(reply);
        waiting.changed.notify();
        true
    }
}
