//! The state that the tasks of a target share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use chicoryrail_core::MemberState;
use chicoryrail_core::Millis;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::Clock;

use crate::LeasedKeys;
use crate::LimitOverrun;
use crate::Overrun;
use crate::ServerStart;
use crate::TargetOptions;
use crate::target::fault::TargetFaults;
use crate::target::limit_check::LimitCheck;
use crate::target::recorder::Recorder;
use crate::target::response::ResponseHead;
use crate::target::slots::Slots;
use crate::target::warmup::WarmUp;
use crate::unix_micros;

/// The state of a target, shared by its tasks on one thread.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) options: TargetOptions,
    pub(crate) slots: Slots,
    pub(crate) leased_keys: RefCell<LeasedKeys>,
    pub(crate) recorder: RefCell<Recorder>,
    pub(crate) faults: RefCell<TargetFaults>,
    /// First line of the last response, which [`crate::TargetFault::Crossed`] sends to another request.
    pub(crate) last_response: RefCell<Option<ResponseHead>>,
    pub(crate) refused_connections: Rc<Cell<u64>>,
    /// Declared lengths of the bodies of the requests that the server holds.
    pub(crate) held_bytes: Cell<u64>,
    /// Cancelled when a request ends the server.
    pub(crate) crash: CancellationToken,
    clock: Clock,
    /// Start of the process in milliseconds since 1970.
    started_unix_ms: u64,
    warmup: RefCell<WarmUp>,
    advertised: Cell<Advertised>,
    limit_check: RefCell<LimitCheck>,
    /// Latest end of the times for which the server asked hosts for nothing.
    backoff_until: Cell<Millis>,
    /// Whether responses say that the server is draining, whatever its entry in the store says.
    says_draining: Cell<bool>,
    /// Accepted requests by id.
    in_flight: RefCell<BTreeMap<u64, InFlight>>,
    last_id: Cell<u64>,
}

/// The part of the server's entry in the store that changes while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Advertised {
    pub(crate) state: MemberState,
    /// Number of warm-ups started by a fault. A change of it makes the server write its entry again.
    warmups: u32,
}

/// An accepted request that has not ended.
#[derive(Debug)]
struct InFlight {
    key: Option<u16>,
    is_running: bool,
}

impl State {
    pub(crate) fn new(
        options: TargetOptions,
        refused_connections: Rc<Cell<u64>>,
    ) -> io::Result<Self> {
        let mut recorder = Recorder::open(options.ledger.as_deref())?;
        let started_us = unix_micros();
        recorder.record_start(ServerStart {
            server: options.name.to_string(),
            born: started_us / 1000,
            time: started_us,
        });
        Ok(Self {
            slots: Slots::new(options.slots, options.queue),
            leased_keys: RefCell::default(),
            recorder: RefCell::new(recorder),
            faults: RefCell::new(TargetFaults::new(options.seed)),
            last_response: RefCell::default(),
            refused_connections,
            held_bytes: Cell::new(0),
            crash: CancellationToken::new(),
            clock: Clock::start(),
            started_unix_ms: started_us / 1000,
            warmup: RefCell::new(WarmUp::new(Millis::ZERO, options.warmup)),
            advertised: Cell::new(Advertised {
                state: MemberState::Ready,
                warmups: 0,
            }),
            limit_check: RefCell::default(),
            backoff_until: Cell::default(),
            says_draining: Cell::default(),
            in_flight: RefCell::default(),
            last_id: Cell::new(0),
            options,
        })
    }

    /// Returns the time of the server's own monotonic clock.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the start of the process in milliseconds since 1970.
    pub(crate) const fn started_unix_ms(&self) -> u64 {
        self.started_unix_ms
    }

    /// Returns the changing part of the entry in the store.
    pub(crate) const fn advertised(&self) -> Advertised {
        self.advertised.get()
    }

    /// Returns `true` if the server says in its responses that it is draining.
    pub(crate) fn says_draining(&self) -> bool {
        self.says_draining.get() || self.advertised.get().state == MemberState::Draining
    }

    /// Announces in responses alone that the server is draining.
    pub(crate) fn say_draining(&self) {
        self.says_draining.set(true);
    }

    /// Announces in the store and in responses that the server is draining.
    pub(crate) fn start_draining(&self) {
        let advertised = self.advertised.get();
        self.advertised.set(Advertised {
            state: MemberState::Draining,
            ..advertised
        });
    }

    /// Records that the server asked a host to send nothing for `time`.
    pub(crate) fn start_backoff(&self, time: Millis) {
        let until = self.backoff_until.get().max(self.now() + time);
        self.backoff_until.set(until);
    }

    /// Returns `true` if the server has asked any host for nothing, and that time is not over.
    pub(crate) fn is_in_backoff(&self) -> bool {
        self.now() < self.backoff_until.get()
    }

    /// Starts a warm-up, as after the loss of all caches. Its default length is that of the options.
    pub(crate) fn start_warmup(&self, length: Option<Millis>) {
        let length = length.unwrap_or(self.options.warmup);
        *self.warmup.borrow_mut() = WarmUp::new(self.now(), length);
        let advertised = self.advertised.get();
        self.advertised.set(Advertised {
            warmups: advertised.warmups + 1,
            ..advertised
        });
    }

    /// Returns how much longer the warm-up lasts.
    pub(crate) fn warmup_left(&self) -> Millis {
        self.warmup.borrow().remaining(self.now())
    }

    /// Returns the current service time in microseconds of a request that usually takes `base` microseconds.
    pub(crate) fn service_us(&self, base: u64) -> u64 {
        let now = self.now();
        let factor =
            self.faults.borrow_mut().service_factor(now) * self.warmup.borrow().service_factor(now);
        (base as f64 * factor) as u64
    }

    /// Records an accepted request and returns its id in the process.
    pub(crate) fn accept(&self, key: Option<u16>) -> u64 {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let busy = {
            let mut in_flight = self.in_flight.borrow_mut();
            in_flight.insert(
                id,
                InFlight {
                    key,
                    is_running: false,
                },
            );
            in_flight.len() as u32
        };
        self.record_arrival(busy);
        id
    }

    /// Records that an accepted request has got a slot and runs.
    pub(crate) fn mark_running(&self, id: u64) {
        if let Some(request) = self.in_flight.borrow_mut().get_mut(&id) {
            request.is_running = true;
        }
    }

    /// Removes an accepted request that has ended.
    pub(crate) fn finish(&self, id: u64) {
        self.in_flight.borrow_mut().remove(&id);
    }

    /// Returns `true` if a request runs on one of the keys from `first` to `last`, included.
    pub(crate) fn has_running(&self, first: u16, last: u16) -> bool {
        let in_flight = self.in_flight.borrow();
        let is_in_range = |r: &InFlight| r.key.is_some_and(|k| (first..=last).contains(&k));
        in_flight.values().any(|r| r.is_running && is_in_range(r))
    }

    /// Counts an arrival and records an overrun if it exceeds the advertised rate limit or the warm-up limit. `busy`
    /// is the number of requests in flight.
    fn record_arrival(&self, busy: u32) {
        let now = self.now();
        let mut recorder = self.recorder.borrow_mut();
        let rate = self.faults.borrow_mut().advertised_limit(now);
        if let Some(excess) = self.limit_check.borrow_mut().record_arrival(now, rate) {
            recorder.record_limit_overrun(LimitOverrun {
                server: self.options.name.to_string(),
                time: unix_micros(),
                limited_ms: excess.age.0,
                arrived: excess.arrived,
                allowed: excess.allowed,
            });
        }
        recorder.ledger.max_busy = recorder.ledger.max_busy.max(busy);
        let mut warmup = self.warmup.borrow_mut();
        let age = warmup.age(now).unwrap_or_default();
        if let Some(arrived) = warmup.record_arrival(now)
            && arrived > self.options.warmup_limit
        {
            recorder.record_overrun(Overrun {
                server: self.options.name.to_string(),
                time: unix_micros(),
                cold_ms: age.0,
                arrived,
                bears: self.options.warmup_limit,
            });
        }
    }
}
