//! The requests that this host has in hand.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use chicoryrail_core::Millis;

use crate::state::RequestProgress;

/// Largest number of requests that are logged at once.
const LOGGED_MAX: usize = 100;

/// Requests in progress, by a number that is unique in this process.
#[derive(Debug, Default)]
pub(crate) struct InHand {
    requests: RefCell<BTreeMap<u64, Rc<RequestProgress>>>,
    next: Cell<u64>,
}

impl InHand {
    /// Adds a request and returns its number.
    pub(crate) fn insert(&self, request: &Rc<RequestProgress>) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        let mut requests = self.requests.borrow_mut();
        requests.insert(number, Rc::clone(request));
        number
    }

    /// Removes a request that has ended.
    pub(crate) fn remove(&self, number: u64) {
        self.requests.borrow_mut().remove(&number);
    }

    /// Logs what each request waits for, and whether it was sent, as `at` is reached.
    pub(crate) fn log(&self, now: Millis, at: &str) {
        for request in self.requests.borrow().values().take(LOGGED_MAX) {
            let written = (request.writes.get() > 0).then(|| now.since(request.written_at.get()).0);
            log::info!(request = request.id, at = at, stage = request.stage.get().name(),
                scheduler:? = request.scheduler.get(), writes = request.writes.get(),
                written_ms:? = written, age_ms = now.since(request.arrived).0; "in_hand");
        }
    }
}
