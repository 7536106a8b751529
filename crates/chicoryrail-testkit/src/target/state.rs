//! What the tasks of a target share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::Slice;
use chicoryrail_platform::LoadReport;
use chicoryrail_platform::SessionAnswer;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::Clock;

use crate::Overrun;
use crate::Ownership;
use crate::TargetOptions;
use crate::target::answer::AnswerHead;
use crate::target::cold::Cold;
use crate::target::fault::TargetFaults;
use crate::target::ledger::Recorder;
use crate::target::slots::Slots;
use crate::wall_micros;

/// The state of a target; its tasks run on one thread.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) options: TargetOptions,
    pub(crate) slots: Slots,
    pub(crate) ownership: RefCell<Ownership>,
    pub(crate) recorder: RefCell<Recorder>,
    pub(crate) faults: RefCell<TargetFaults>,
    pub(crate) instance: Cell<u64>,
    pub(crate) draining: Cell<bool>,
    pub(crate) last_answer: RefCell<Option<AnswerHead>>,
    pub(crate) refused: Rc<Cell<u64>>,
    clock: Clock,
    /// Wall clock at the start, in milliseconds.
    origin: Millis,
    cold: Cell<Cold>,
    announced: Cell<bool>,
    flights: RefCell<BTreeMap<u64, Flight>>,
    tickets: Cell<u64>,
    samples: RefCell<VecDeque<Sample>>,
}

/// An accepted request.
#[derive(Debug)]
struct Flight {
    request: String,
    key: KeyHash,
    runs: bool,
    cancel: CancellationToken,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    time: Millis,
    busy: u32,
    queued: u32,
}

impl State {
    pub(crate) fn new(options: TargetOptions, refused: Rc<Cell<u64>>) -> io::Result<Self> {
        let recorder = Recorder::open(options.ledger.as_deref())?;
        let origin = Millis(wall_micros() / 1000);
        Ok(Self {
            slots: Slots::new(options.slots, options.queue),
            ownership: RefCell::default(),
            recorder: RefCell::new(recorder),
            faults: RefCell::new(TargetFaults::new(options.seed)),
            instance: Cell::new(rand::random::<u64>().max(1)),
            draining: Cell::new(false),
            last_answer: RefCell::default(),
            refused,
            clock: Clock::start(),
            origin,
            cold: Cell::new(Cold::new(origin, options.cold_ms)),
            announced: Cell::new(true),
            flights: RefCell::default(),
            tickets: Cell::new(0),
            samples: RefCell::default(),
            options,
        })
    }

    /// Reads the server's own time. It starts at the wall clock, so that a time which an earlier
    /// run gave is old to this one, and goes on monotonically.
    pub(crate) fn now(&self) -> Millis {
        self.origin + self.clock.now()
    }

    /// Empties the caches.
    pub(crate) fn turn_cold(&self, length: Option<Millis>, announced: bool) {
        let length = length.unwrap_or(self.options.cold_ms);
        self.cold.set(Cold::new(self.now(), length));
        self.announced.set(announced);
        if announced {
            self.instance.set(rand::random::<u64>().max(1));
        }
    }

    /// Returns the service time in microseconds that a request of `base` takes now.
    pub(crate) fn service_us(&self, base: u64) -> u64 {
        let now = self.now();
        let factor = self.faults.borrow_mut().factor(now) * self.cold.get().factor(now);
        (base as f64 * factor) as u64
    }

    /// Accepts a request.
    pub(crate) fn enter(&self, request: &str, key: KeyHash, cancel: CancellationToken) -> u64 {
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        let flight = Flight {
            request: request.to_owned(),
            key,
            runs: false,
            cancel,
        };
        let busy = {
            let mut flights = self.flights.borrow_mut();
            flights.insert(ticket, flight);
            flights.len() as u32
        };
        self.note_busy(busy);
        ticket
    }

    /// Notes that an accepted request has a slot.
    pub(crate) fn start(&self, ticket: u64) {
        if let Some(flight) = self.flights.borrow_mut().get_mut(&ticket) {
            flight.runs = true;
        }
    }

    /// Ends an accepted request.
    pub(crate) fn leave(&self, ticket: u64) {
        self.flights.borrow_mut().remove(&ticket);
    }

    /// Cancels the requests with that id; tells whether there was one.
    pub(crate) fn cancel(&self, request: &str) -> bool {
        let flights = self.flights.borrow();
        let found: Vec<_> = flights.values().filter(|f| f.request == request).collect();
        found.iter().for_each(|f| f.cancel.cancel());
        !found.is_empty()
    }

    /// Tells whether a request runs on one of the slices.
    pub(crate) fn runs_on(&self, slices: &[Slice]) -> bool {
        let flights = self.flights.borrow();
        flights
            .values()
            .any(|f| f.runs && slices.iter().any(|s| s.contains(f.key)))
    }

    /// Returns the accepted requests, queued ones too.
    pub(crate) fn accepted(&self) -> u32 {
        self.flights.borrow().len() as u32
    }

    /// Returns what control calls answer.
    pub(crate) fn session_answer(&self) -> SessionAnswer {
        let ownership = self.ownership.borrow();
        SessionAnswer {
            now: self.now(),
            instance: self.instance.get(),
            fence: ownership.seen(),
            slices: ownership.slices().to_vec(),
            busy: self.slots.busy(),
        }
    }

    /// Takes a sample for the load report.
    pub(crate) fn sample(&self) {
        let now = self.now();
        let mut samples = self.samples.borrow_mut();
        samples.push_back(Sample {
            time: now,
            busy: self.slots.busy(),
            queued: self.slots.queued(),
        });
        let horizon = now.since(self.options.report_age);
        while samples.get(1).is_some_and(|s| s.time <= horizon) {
            samples.pop_front();
        }
    }

    /// Returns the load report, as old as the settings say.
    pub(crate) fn report(&self) -> LoadReport {
        let sample = self.samples.borrow().front().copied();
        let sample = sample.unwrap_or(Sample {
            time: self.now(),
            ..Sample::default()
        });
        LoadReport {
            busy: sample.busy,
            queued: sample.queued,
            age: self.now().since(sample.time),
            instance: self.instance.get(),
        }
    }

    fn note_busy(&self, busy: u32) {
        let now = self.now();
        let cold = self.cold.get();
        let mut recorder = self.recorder.borrow_mut();
        recorder.ledger.max_busy = recorder.ledger.max_busy.max(busy);
        let bears = cold.bears(now, self.options.slots);
        if let (Some(bears), Some(age)) = (bears, cold.age(now))
            && busy > bears
        {
            recorder.overrun(Overrun {
                server: self.options.name.to_string(),
                time: wall_micros(),
                cold_ms: age.0,
                announced: self.announced.get(),
                busy,
                bears,
            });
        }
    }
}
