//! The queue before the servers whose slots this gate holds.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_policy::Action;
use chicoryrail_policy::Ask;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Load;
use chicoryrail_policy::Outcome;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerQueue;
use chicoryrail_policy::Ticket;
use chicoryrail_policy::Verdict;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::Invariants;
use chicoryrail_runtime::Process;

use crate::refusal::Refusal;
use crate::server::Server;
use crate::shard::Shard;

/// A queue and its servers: one for each server of a keyed service, one for all servers that the
/// gate holds of a free service. `ServerQueue` decides; this wakes the tasks that wait.
#[derive(Debug)]
pub(crate) struct Lane {
    clock: Clock,
    invariants: Invariants,
    queue: RefCell<ServerQueue>,
    members: RefCell<HashMap<ServerId, Member>>,
    waiters: RefCell<HashMap<Ticket, Rc<Waiter>>>,
    timed: Cell<bool>,
}

#[derive(Clone, Debug)]
struct Member {
    server: Rc<Server>,
    shard: Rc<Shard>,
}

#[derive(Debug)]
struct Waiter {
    key: Option<KeyHash>,
    state: Cell<State>,
    waker: RefCell<Option<Waker>>,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Waiting,
    Granted(ServerId),
    Refused(chicoryrail_policy::Refusal),
    Moved,
    Gone,
}

impl Lane {
    /// Builds a lane without servers.
    pub(crate) fn new(process: &Process) -> Rc<Self> {
        Rc::new(Self {
            clock: process.clock,
            invariants: process.invariants.clone(),
            queue: RefCell::default(),
            members: RefCell::default(),
            waiters: RefCell::default(),
            timed: Cell::new(false),
        })
    }

    /// Adds a server with its slots; `cold` starts its ramp.
    pub(crate) fn join(
        self: &Rc<Self>,
        server: &Rc<Server>,
        shard: &Rc<Shard>,
        slots: u32,
        cold: bool,
    ) {
        let member = Member {
            server: Rc::clone(server),
            shard: Rc::clone(shard),
        };
        self.members.borrow_mut().insert(server.id, member);
        let mut queue = self.queue.borrow_mut();
        queue.set_server(server.id, slots);
        if cold {
            queue.set_cold(server.id);
        }
        drop(queue);
        self.pump();
    }

    /// Sends a server no new work; what waits with no server left finds another way.
    pub(crate) fn leave(&self, server: &Server) {
        if self.members.borrow_mut().remove(&server.id).is_none() {
            return;
        }
        self.queue.borrow_mut().remove_server(server.id);
        if self.members.borrow().is_empty() {
            self.recheck(|_| false);
        }
    }

    /// Tells whether the lane has no server.
    pub(crate) fn is_empty(&self) -> bool {
        self.members.borrow().is_empty()
    }

    /// Returns the load, exact for this gate.
    pub(crate) fn load(&self) -> Option<Load> {
        if self.is_empty() {
            return None;
        }
        Some(self.queue.borrow_mut().load(self.clock.now()))
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Returns the requests in flight at a server, and its part of those that wait.
    pub(crate) fn load_of(&self, server: &Server) -> u32 {
        let members = self.members.borrow().len().max(1);
        self.queue.borrow().in_flight(server.id) + (self.waiting() / members) as u32
    }

    /// Returns what is thought of a server's speed.
    pub(crate) fn verdict(&self, server: &Server) -> Option<Verdict> {
        self.queue.borrow().verdict(self.clock.now(), server.id)
    }

    /// Takes a server's instance id from an answer.
    pub(crate) fn set_instance(&self, server: &Server, instance: u64) {
        self.queue.borrow_mut().set_instance(server.id, instance);
    }

    /// Takes a slot, waiting as the queue decides.
    ///
    /// # Errors
    ///
    /// Returns the queue's refusal, or `OwnerMoving` where the servers lost the request's key
    /// meanwhile. Nothing was sent.
    pub(crate) async fn enter(
        self: &Rc<Self>,
        ask: Ask,
        key: Option<KeyHash>,
    ) -> Result<Permit, Refusal> {
        let decision = self.queue.borrow_mut().offer(self.clock.now(), ask);
        match decision {
            Decision::Send(id) => {
                self.check_start(id);
                Permit::new(self, id, ask.ticket)
            }
            Decision::Refuse(refusal) => Err(refusal.into()),
            Decision::Wait => {
                let waiter = Rc::new(Waiter {
                    key,
                    state: Cell::new(State::Waiting),
                    waker: RefCell::default(),
                });
                self.waiters
                    .borrow_mut()
                    .insert(ask.ticket, Rc::clone(&waiter));
                self.keep_time();
                let wait = Wait {
                    lane: Rc::clone(self),
                    ticket: ask.ticket,
                    waiter,
                };
                wait.await
            }
        }
    }

    /// Takes a free slot for a second try; it never waits.
    pub(crate) fn enter_now(self: &Rc<Self>, ask: Ask) -> Option<Permit> {
        let id = self.queue.borrow_mut().offer_now(self.clock.now(), ask)?;
        self.check_start(id);
        Permit::new(self, id, ask.ticket).ok()
    }

    /// Sends away the waiting requests that may not stay, so that they find their new owner in place
    /// of waiting for an old one.
    pub(crate) fn recheck(&self, keep: impl Fn(Option<KeyHash>) -> bool) {
        let waiters = self.waiters.borrow();
        let gone: Vec<Ticket> = waiters
            .iter()
            .filter(|(_, w)| !keep(w.key))
            .map(|(t, _)| *t)
            .collect();
        drop(waiters);
        for ticket in gone {
            self.queue.borrow_mut().cancel(ticket);
            self.turn(ticket, State::Moved);
        }
    }

    fn pump(self: &Rc<Self>) {
        loop {
            let action = self.queue.borrow_mut().poll(self.clock.now());
            match action {
                None => return,
                Some(Action::Send(ticket, id)) => {
                    self.check_start(id);
                    self.turn(ticket, State::Granted(id));
                }
                Some(Action::Refuse(ticket, refusal)) => {
                    self.turn(ticket, State::Refused(refusal));
                }
            }
        }
    }

    /// Asserts right after a start that the server bears it and has not left.
    fn check_start(&self, id: ServerId) {
        let queue = self.queue.borrow();
        let (flights, limit) = (queue.in_flight(id), queue.limit(id));
        drop(queue);
        let subject = || format!("server={} in_flight={flights} limit={limit}", id.0);
        self.invariants
            .check(Invariant::WithinSlots, flights <= limit, subject);
        let stays = self.members.borrow().contains_key(&id);
        self.invariants
            .check(Invariant::LeavingIdle, stays, subject);
    }

    fn turn(&self, ticket: Ticket, state: State) {
        let Some(waiter) = self.waiters.borrow_mut().remove(&ticket) else {
            return;
        };
        waiter.state.set(state);
        if let Some(waker) = waiter.waker.take() {
            waker.wake();
        }
    }

    /// Calls the queue at the times that it names, as long as requests wait.
    fn keep_time(self: &Rc<Self>) {
        if self.timed.replace(true) {
            return;
        }
        let lane = Rc::clone(self);
        monoio::spawn(async move {
            while !lane.waiters.borrow().is_empty() {
                let now = lane.clock.now();
                let wake = lane.queue.borrow().wake(now);
                let wake = wake.unwrap_or(now + Millis(10));
                lane.clock.sleep_until(wake).await;
                lane.pump();
            }
            lane.timed.set(false);
        });
    }
}

/// The right to have one request in flight at a server; given back with its outcome when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    lane: Rc<Lane>,
    pub(crate) server: Rc<Server>,
    pub(crate) shard: Rc<Shard>,
    ticket: Ticket,
    outcome: Outcome,
}

impl Permit {
    fn new(lane: &Rc<Lane>, id: ServerId, ticket: Ticket) -> Result<Self, Refusal> {
        let member = lane.members.borrow().get(&id).cloned();
        let Some(member) = member else {
            // The server left between the grant and this moment.
            let mut queue = lane.queue.borrow_mut();
            queue.done(lane.clock.now(), id, ticket, Outcome::Cancelled);
            return Err(ResultCode::OwnerMoving.into());
        };
        Ok(Self {
            lane: Rc::clone(lane),
            server: member.server,
            shard: member.shard,
            ticket,
            outcome: Outcome::Cancelled,
        })
    }

    /// Notes how the request ended; `Cancelled` where nothing is noted.
    pub(crate) fn note(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.lane.clock.now();
        let mut queue = self.lane.queue.borrow_mut();
        queue.done(now, self.server.id, self.ticket, self.outcome);
        drop(queue);
        self.lane.pump();
    }
}

struct Wait {
    lane: Rc<Lane>,
    ticket: Ticket,
    waiter: Rc<Waiter>,
}

impl Future for Wait {
    type Output = Result<Permit, Refusal>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let state = &self.waiter.state;
        Poll::Ready(match state.get() {
            State::Granted(id) => {
                state.set(State::Gone);
                Permit::new(&self.lane, id, self.ticket)
            }
            State::Refused(refusal) => Err(refusal.into()),
            State::Moved | State::Gone => Err(ResultCode::OwnerMoving.into()),
            State::Waiting => {
                *self.waiter.waker.borrow_mut() = Some(cx.waker().clone());
                return Poll::Pending;
            }
        })
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        match self.waiter.state.replace(State::Gone) {
            // The slot came at the moment the caller left.
            State::Granted(id) => drop(Permit::new(&self.lane, id, self.ticket)),
            State::Waiting => {
                self.lane.waiters.borrow_mut().remove(&self.ticket);
                self.lane.queue.borrow_mut().cancel(self.ticket);
            }
            State::Refused(_) | State::Moved | State::Gone => {}
        }
    }
}
