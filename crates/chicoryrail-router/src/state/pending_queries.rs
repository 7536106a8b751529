//! Delivery of schedulers' decisions to the requests that wait for them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use chicoryrail_runtime::ChangeSignal;

use crate::messages::SlotReply;

/// Slot queries of this host that await the scheduler's decision, by ticket.
#[derive(Debug, Default)]
pub(crate) struct PendingQueries {
    pending: RefCell<HashMap<u64, Rc<PendingQuery>>>,
    next: Cell<u64>,
}

/// One pending slot query: the scheduler's last decision, and a signal that fires with each new one.
#[derive(Debug, Default)]
pub(crate) struct PendingQuery {
    reply: RefCell<Option<SlotReply>>,
    pub(crate) changed: ChangeSignal,
}

impl PendingQuery {
    /// Removes and returns the last decision.
    pub(crate) fn take(&self) -> Option<SlotReply> {
        self.reply.borrow_mut().take()
    }
}

impl PendingQueries {
    /// Registers a pending query and returns it with its ticket, which is unique among the requests of all hosts:
    /// `instance` is the random id of this process.
    pub(crate) fn open(&self, instance: u64) -> (u64, Rc<PendingQuery>) {
        let ticket = self.new_ticket(instance);
        let query = Rc::new(PendingQuery::default());
        self.pending.borrow_mut().insert(ticket, Rc::clone(&query));
        (ticket, query)
    }

    /// Returns a ticket for a request without a query.
    pub(crate) fn new_ticket(&self, instance: u64) -> u64 {
        let next = self.next.get() + 1;
        self.next.set(next);
        (instance << 24) ^ next
    }

    /// Removes a pending query; later decisions on its ticket are dropped.
    pub(crate) fn close(&self, ticket: u64) {
        self.pending.borrow_mut().remove(&ticket);
    }

    /// Wakes the requests of all pending queries, to check whether they may still wait.
    pub(crate) fn notify_all(&self) {
        for query in self.pending.borrow().values() {
            query.changed.notify();
        }
    }

    /// Delivers a decision of the scheduler. Returns `true` if a query with this ticket is pending.
    pub(crate) fn deliver(&self, ticket: u64, reply: SlotReply) -> bool {
        let query = self.pending.borrow().get(&ticket).cloned();
        let Some(query) = query else {
            return false;
        };
        *query.reply.borrow_mut() = Some(reply);
        query.changed.notify();
        true
    }
}
