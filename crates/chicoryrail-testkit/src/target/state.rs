//! What the tasks of a target share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use chicoryrail_core::MemberState;
use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;

use crate::Holding;
use crate::LimitOverrun;
use crate::Overrun;
use crate::TargetOptions;
use crate::target::answer::AnswerHead;
use crate::target::cold::Cold;
use crate::target::fault::TargetFaults;
use crate::target::ledger::Recorder;
use crate::target::limited::Limited;
use crate::target::slots::Slots;
use crate::wall_micros;

/// The state of a target; its tasks run on one thread.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) options: TargetOptions,
    pub(crate) slots: Slots,
    pub(crate) holding: RefCell<Holding>,
    pub(crate) recorder: RefCell<Recorder>,
    pub(crate) faults: RefCell<TargetFaults>,
    pub(crate) last_answer: RefCell<Option<AnswerHead>>,
    pub(crate) refused: Rc<Cell<u64>>,
    clock: Clock,
    /// Wall clock at the start, in milliseconds.
    born: u64,
    cold: RefCell<Cold>,
    told: Cell<Told>,
    limited: RefCell<Limited>,
    flights: RefCell<BTreeMap<u64, Flight>>,
    tickets: Cell<u64>,
}

/// What the entry of the server says beside what never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Told {
    pub(crate) state: MemberState,
    /// Times that it turned cold.
    colds: u32,
}

/// An accepted request.
#[derive(Debug)]
struct Flight {
    key: Option<u16>,
    runs: bool,
}

impl State {
    pub(crate) fn new(options: TargetOptions, refused: Rc<Cell<u64>>) -> io::Result<Self> {
        let recorder = Recorder::open(options.ledger.as_deref())?;
        Ok(Self {
            slots: Slots::new(options.slots, options.queue),
            holding: RefCell::default(),
            recorder: RefCell::new(recorder),
            faults: RefCell::new(TargetFaults::new(options.seed)),
            last_answer: RefCell::default(),
            refused,
            clock: Clock::start(),
            born: wall_micros() / 1000,
            cold: RefCell::new(Cold::new(Millis::ZERO, options.cold_ms)),
            told: Cell::new(Told {
                state: MemberState::Ready,
                colds: 0,
            }),
            limited: RefCell::default(),
            flights: RefCell::default(),
            tickets: Cell::new(0),
            options,
        })
    }

    /// Reads the server's own monotonic time.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the start of the process in Unix milliseconds.
    pub(crate) const fn born(&self) -> u64 {
        self.born
    }

    /// Returns what the entry is to say.
    pub(crate) const fn told(&self) -> Told {
        self.told.get()
    }

    /// Tells whether the server is about to leave.
    pub(crate) fn is_leaving(&self) -> bool {
        self.told.get().state == MemberState::Draining
    }

    /// Announces that the server leaves.
    pub(crate) fn leave(&self) {
        let told = self.told.get();
        self.told.set(Told {
            state: MemberState::Draining,
            ..told
        });
    }

    /// Empties the caches.
    pub(crate) fn turn_cold(&self, length: Option<Millis>) {
        let length = length.unwrap_or(self.options.cold_ms);
        *self.cold.borrow_mut() = Cold::new(self.now(), length);
        let told = self.told.get();
        self.told.set(Told {
            colds: told.colds + 1,
            ..told
        });
    }

    /// Returns how much longer the server stays cold.
    pub(crate) fn cold_left(&self) -> Millis {
        self.cold.borrow().left(self.now())
    }

    /// Returns the service time in microseconds that a request of `base` takes now.
    pub(crate) fn service_us(&self, base: u64) -> u64 {
        let now = self.now();
        let factor = self.faults.borrow_mut().factor(now) * self.cold.borrow().factor(now);
        (base as f64 * factor) as u64
    }

    /// Accepts a request.
    pub(crate) fn enter(&self, key: Option<u16>) -> u64 {
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        let busy = {
            let mut flights = self.flights.borrow_mut();
            flights.insert(ticket, Flight { key, runs: false });
            flights.len() as u32
        };
        self.note_arrival(busy);
        ticket
    }

    /// Notes that an accepted request has a slot.
    pub(crate) fn start(&self, ticket: u64) {
        if let Some(flight) = self.flights.borrow_mut().get_mut(&ticket) {
            flight.runs = true;
        }
    }

    /// Ends an accepted request.
    pub(crate) fn end(&self, ticket: u64) {
        self.flights.borrow_mut().remove(&ticket);
    }

    /// Tells whether a request runs on one of the keys.
    pub(crate) fn runs_on(&self, first: u16, last: u16) -> bool {
        let flights = self.flights.borrow();
        let on = |f: &Flight| f.key.is_some_and(|k| (first..=last).contains(&k));
        flights.values().any(|f| f.runs && on(f))
    }

    fn note_arrival(&self, busy: u32) {
        let now = self.now();
        let mut recorder = self.recorder.borrow_mut();
        let rate = self.faults.borrow_mut().limit(now);
        if let Some(excess) = self.limited.borrow_mut().arrive(now, rate) {
            recorder.limit_overrun(LimitOverrun {
                server: self.options.name.to_string(),
                time: wall_micros(),
                limited_ms: excess.age.0,
                arrived: excess.arrived,
                allowed: excess.allowed,
            });
        }
        recorder.ledger.max_busy = recorder.ledger.max_busy.max(busy);
        let mut cold = self.cold.borrow_mut();
        let age = cold.age(now).unwrap_or_default();
        if let Some(arrived) = cold.arrive(now)
            && arrived > self.options.cold_bears
        {
            recorder.overrun(Overrun {
                server: self.options.name.to_string(),
                time: wall_micros(),
                cold_ms: age.0,
                arrived,
                bears: self.options.cold_bears,
            });
        }
    }
}
