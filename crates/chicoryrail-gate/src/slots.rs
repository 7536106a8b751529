//! The slots of a server as a hard limit, and the queue before them.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use monoio::time::timeout;

use crate::decide;
use crate::decide::Queue;

/// Requests in flight at one server and those that wait for a slot.
///
/// One gate holds a server's slots, so this count is exact over all gates.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    limit: Cell<u32>,
    used: Cell<u32>,
    waiting: Cell<usize>,
    queue: RefCell<Queue<Rc<Ticket>>>,
    mean_us: Cell<u32>,
}

#[derive(Debug)]
struct Ticket {
    key: Option<KeyHash>,
    state: Cell<TicketState>,
    waker: RefCell<Option<Waker>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TicketState {
    Waiting,
    Granted,
    Moved,
    Gone,
}

/// The right to have one request in flight at the server; given back when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    slots: Rc<Slots>,
}

impl Slots {
    /// Sets the limit; more slots let waiting requests go.
    pub(crate) fn set_limit(&self, limit: u32) {
        self.limit.set(limit);
        self.grant();
    }

    /// Returns the most requests in flight.
    pub(crate) fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Returns the requests in flight and waiting.
    pub(crate) fn load(&self) -> u32 {
        self.used.get() + self.waiting.get() as u32
    }

    /// Returns the requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.get()
    }

    /// Takes the time that the server needed for a request into the mean.
    pub(crate) fn learn(&self, us: u32) {
        let old = self.mean_us.get();
        let mean = if old == 0 { us } else { old - old / 8 + us / 8 };
        self.mean_us.set(mean);
    }

    /// Takes a slot, waiting in deadline order for at most `left`.
    ///
    /// # Errors
    ///
    /// `Overloaded` where the request can't finish in time, `DeadlinePassed` where it waited in
    /// vain, `OwnerMoving` where the server lost the request's key meanwhile. Nothing was sent.
    pub(crate) async fn enter(
        self: &Rc<Self>,
        key: Option<KeyHash>,
        deadline: Millis,
        left: Millis,
    ) -> Result<Permit, ResultCode> {
        if self.used.get() < self.limit.get() && self.waiting.get() == 0 {
            self.used.set(self.used.get() + 1);
            return Ok(Permit {
                slots: Rc::clone(self),
            });
        }
        if !decide::admits(
            self.waiting.get(),
            self.limit.get(),
            self.mean_us.get(),
            left,
        ) {
            return Err(ResultCode::Overloaded);
        }
        let ticket = Rc::new(Ticket {
            key,
            state: Cell::new(TicketState::Waiting),
            waker: RefCell::default(),
        });
        self.queue.borrow_mut().push(deadline, Rc::clone(&ticket));
        self.waiting.set(self.waiting.get() + 1);
        let wait = TicketWait {
            slots: Rc::clone(self),
            ticket,
        };
        timeout(left.duration(), wait)
            .await
            .unwrap_or(Err(ResultCode::DeadlinePassed))
    }

    /// Sends away the waiting requests that the server may not take any more, so that they find
    /// their new owner instead of waiting for an old one.
    pub(crate) fn recheck(&self, keep: impl Fn(Option<KeyHash>) -> bool) {
        self.queue.borrow_mut().retain(|ticket| {
            let waiting = ticket.state.get() == TicketState::Waiting;
            if waiting && !keep(ticket.key) {
                self.waiting.set(self.waiting.get() - 1);
                ticket.turn(TicketState::Moved);
                return false;
            }
            waiting
        });
    }

    fn grant(&self) {
        while self.used.get() < self.limit.get() {
            let Some(ticket) = self.queue.borrow_mut().pop() else {
                return;
            };
            if ticket.state.get() == TicketState::Waiting {
                self.used.set(self.used.get() + 1);
                self.waiting.set(self.waiting.get() - 1);
                ticket.turn(TicketState::Granted);
            }
        }
    }
}

impl Ticket {
    fn turn(&self, state: TicketState) {
        self.state.set(state);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.slots.used.set(self.slots.used.get() - 1);
        self.slots.grant();
    }
}

struct TicketWait {
    slots: Rc<Slots>,
    ticket: Rc<Ticket>,
}

impl Future for TicketWait {
    type Output = Result<Permit, ResultCode>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        match self.ticket.state.get() {
            TicketState::Granted => {
                self.ticket.state.set(TicketState::Gone);
                Poll::Ready(Ok(Permit {
                    slots: Rc::clone(&self.slots),
                }))
            }
            TicketState::Moved | TicketState::Gone => Poll::Ready(Err(ResultCode::OwnerMoving)),
            TicketState::Waiting => {
                *self.ticket.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Drop for TicketWait {
    fn drop(&mut self) {
        match self.ticket.state.replace(TicketState::Gone) {
            // The slot came at the moment the caller left or the deadline passed.
            TicketState::Granted => drop(Permit {
                slots: Rc::clone(&self.slots),
            }),
            TicketState::Waiting => self.slots.waiting.set(self.slots.waiting.get() - 1),
            TicketState::Moved | TicketState::Gone => {}
        }
    }
}
