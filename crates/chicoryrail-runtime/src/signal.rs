//! Wakes tasks that wait for a change.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::task::Poll;
use std::task::Waker;

/// A change that any number of tasks wait for.
///
/// A waiter takes the count first and checks its condition after, so that a change in between wakes
/// it at once.
#[derive(Debug, Default)]
pub struct Signal {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Returns the number of changes so far.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Says that something changed and wakes all waiters.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until there were more than `seen` changes.
    pub async fn after(&self, seen: u64) {
        poll_fn(|cx| {
            if self.count.get() > seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|w| w.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
