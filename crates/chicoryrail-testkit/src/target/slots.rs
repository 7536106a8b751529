//! The slots of a server and the bounded queue of requests that wait for one.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::CancellationToken;
use monoio::time::timeout;

/// The reason why a request got no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoSlot {
    /// The queue is full.
    Shed,
    /// The request's time ran out in the queue.
    TimedOut,
}

#[derive(Debug, Default)]
struct Inner {
    busy: u32,
    /// One token for each queued request, oldest first; it is cancelled when the request gets a slot.
    queued: VecDeque<CancellationToken>,
}

/// The slots of a server and their queue; clones share both.
#[derive(Clone, Debug)]
pub(crate) struct Slots {
    slots: u32,
    /// Maximum number of queued requests.
    queue: u32,
    inner: Rc<RefCell<Inner>>,
}

/// An acquired slot. Dropping it passes it to the first queued request.
#[derive(Debug)]
pub(crate) struct Slot(Slots);

impl Slots {
    pub(crate) fn new(slots: u32, queue: u32) -> Self {
        Self {
            slots,
            queue,
            inner: Rc::default(),
        }
    }

    /// Returns the number of slots in use.
    pub(crate) fn busy(&self) -> u32 {
        self.inner.borrow().busy
    }

    /// Returns the number of queued requests.
    pub(crate) fn queued(&self) -> u32 {
        self.inner.borrow().queued.len() as u32
    }

    /// Acquires a slot, waiting in the queue for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no slot.
    pub(crate) async fn acquire(&self, limit: Millis) -> Result<Slot, NoSlot> {
        let granted = {
            let mut inner = self.inner.borrow_mut();
            if inner.busy < self.slots {
                inner.busy += 1;
                return Ok(Slot(self.clone()));
            }
            if inner.queued.len() >= self.queue as usize {
                return Err(NoSlot::Shed);
            }
            let granted = CancellationToken::new();
            inner.queued.push_back(granted.clone());
            granted
        };
        let mut waiter = Waiter {
            slots: self,
            granted,
        };
        let waited = timeout(limit.to_duration(), waiter.granted.cancelled()).await;
        if waited.is_ok() || waiter.granted.is_cancelled() {
            waiter.granted = CancellationToken::new();
            return Ok(Slot(self.clone()));
        }
        Err(NoSlot::TimedOut)
    }

    fn release(&self) {
        let mut inner = self.inner.borrow_mut();
        match inner.queued.pop_front() {
            Some(granted) => granted.cancel(),
            None => inner.busy -= 1,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// A place in the queue. Dropping it leaves the queue, or releases a slot that was granted meanwhile.
struct Waiter<'a> {
    slots: &'a Slots,
    granted: CancellationToken,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.granted.is_cancelled() {
            // The slot was granted while the wait was being abandoned.
            self.slots.release();
            return;
        }
        let mut inner = self.slots.inner.borrow_mut();
        // Tokens can't be compared, so a waiter cancels its own, and the queue drops the cancelled one.
        self.granted.cancel();
        inner.queued.retain(|t| !t.is_cancelled());
    }
}
