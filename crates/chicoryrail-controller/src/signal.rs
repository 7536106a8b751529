//! A change that tasks wait for.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::task::Poll;
use std::task::Waker;

use chicoryrail_core::Millis;
use monoio::time::timeout;

/// Counts changes and wakes whoever waits for the next one.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Reports a change.
    pub(crate) fn raise(&self) {
        self.count.set(self.count.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Returns the number of changes so far.
    pub(crate) fn count(&self) -> u64 {
        self.count.get()
    }

    /// Waits until there were more than `seen` changes, at most `limit`.
    pub(crate) async fn wait(&self, seen: u64, limit: Millis) {
        let changed = poll_fn(|cx| {
            if self.count.get() > seen {
                return Poll::Ready(());
            }
            self.wakers.borrow_mut().push(cx.waker().clone());
            Poll::Pending
        });
        let _ = timeout(limit.duration(), changed).await;
    }
}
