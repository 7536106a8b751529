//! Slots and the short queue before them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::CancellationToken;
use monoio::time::timeout;

/// Why a request got no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoSlot {
    /// The queue is full.
    Shed,
    /// The deadline passed in the queue.
    Late,
}

#[derive(Debug, Default)]
struct Inner {
    busy: u32,
    waiting: VecDeque<CancellationToken>,
}

/// Slots of a server; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Slots {
    slots: u32,
    queue: u32,
    inner: Rc<RefCell<Inner>>,
}

/// A slot held; dropping it passes it to the next in the queue.
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

    /// Returns the requests that run.
    pub(crate) fn busy(&self) -> u32 {
        self.inner.borrow().busy
    }

    /// Returns the requests that wait.
    pub(crate) fn queued(&self) -> u32 {
        self.inner.borrow().waiting.len() as u32
    }

    /// Takes a slot, waiting in the queue at most `limit`.
    pub(crate) async fn take(&self, limit: Millis) -> Result<Slot, NoSlot> {
        let turn = {
            let mut inner = self.inner.borrow_mut();
            if inner.busy < self.slots {
                inner.busy += 1;
                return Ok(Slot(self.clone()));
            }
            if inner.waiting.len() >= self.queue as usize {
                return Err(NoSlot::Shed);
            }
            let turn = CancellationToken::new();
            inner.waiting.push_back(turn.clone());
            turn
        };
        let mut waiter = Waiter { slots: self, turn };
        let came = timeout(limit.duration(), waiter.turn.cancelled()).await;
        if came.is_ok() || waiter.turn.is_cancelled() {
            waiter.turn = CancellationToken::new();
            return Ok(Slot(self.clone()));
        }
        Err(NoSlot::Late)
    }

    fn give_back(&self) {
        let mut inner = self.inner.borrow_mut();
        match inner.waiting.pop_front() {
            Some(turn) => turn.cancel(),
            None => inner.busy -= 1,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.give_back();
    }
}

/// A place in the queue, given up when the wait ends in any way.
struct Waiter<'a> {
    slots: &'a Slots,
    turn: CancellationToken,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.turn.is_cancelled() {
            // The slot was passed on while the wait was being given up.
            self.slots.give_back();
            return;
        }
        let mut inner = self.slots.inner.borrow_mut();
        // Tokens have no identity to compare, so a waiter cancels its own and the queue drops it.
        self.turn.cancel();
        inner.waiting.retain(|t| !t.is_cancelled());
    }
}
