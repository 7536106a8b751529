//! Notifies tasks of a change.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::task::Poll;
use std::task::Waker;

/// A change notification that any number of tasks can wait for.
///
/// A task reads [`Signal::count`] before it checks its condition and then waits with [`Signal::after`]. A change
/// between the check and the wait then wakes the task immediately.
#[derive(Debug, Default)]
pub struct Signal {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Returns the number of notifications so far.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Counts a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until the count exceeds `seen`.
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
