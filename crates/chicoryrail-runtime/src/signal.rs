//! Notifies tasks of a change.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::task::Poll;
use std::task::Waker;

/// A change notification that any number of tasks can wait for.
///
/// A task reads [`ChangeSignal::version`] before it checks its condition and then waits with
/// [`ChangeSignal::wait_past`]. A change between the check and the wait then wakes the task immediately.
#[derive(Debug, Default)]
pub struct ChangeSignal {
    version: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl ChangeSignal {
    /// Returns the version: the number of notifications so far.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Counts a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.version.set(self.version.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until the version exceeds `seen`.
    pub async fn wait_past(&self, seen: u64) {
        poll_fn(|cx| {
            if self.version.get() > seen {
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
