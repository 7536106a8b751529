//! Open-loop and closed-loop runs of load.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use chicoryrail_core::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::CallRecord;
use crate::LoadHost;
use crate::LoadService;
use crate::Outcome;
use crate::load::balancer::Balancer;
use crate::load::call::call;
use crate::load::mix::Mix;
use crate::load::mix::PlannedRequest;
use crate::load::pool::Pool;
use crate::unix_micros;

/// Maximum number of requests in flight in an open loop. Further requests wait; their latency still counts from
/// their intended start.
const MAX_IN_FLIGHT: u32 = 2_000;

/// Least time before its deadline at which a refused caller returns: slow callers need half of it to send and read.
const RETURN_TIME_MIN: Millis = Millis(1_000);

/// Longest time for which a refused caller stays away, even if it was asked to return later.
const RETURN_DELAY_MAX: Millis = Millis(500);

/// Options of a run of load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// Hosts over which requests are balanced.
    pub hosts: Vec<LoadHost>,
    /// Services that requests are sent to.
    pub services: Vec<LoadService>,
    /// Duration of the run.
    pub duration: Millis,
    /// Requests per second in an open loop; `None` for a closed loop.
    pub rate: Option<f64>,
    /// Number of concurrent callers in a closed loop.
    pub callers: u32,
    /// Deadline of each request.
    pub deadline: Millis,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether callers use open connections to hosts that the load balancer has removed, until these close them.
    pub keeps_connections: bool,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            hosts: Vec::new(),
            services: Vec::new(),
            duration: Millis(5_000),
            rate: None,
            callers: 8,
            deadline: Millis(1_000),
            seed: 1,
            keeps_connections: false,
        }
    }
}

/// Counters of a run in progress, which other threads may read.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests that ended.
    pub ended: AtomicU64,
    /// Requests that succeeded.
    pub done: AtomicU64,
    /// Requests refused before they ran.
    pub not_run: AtomicU64,
    /// Requests with an indeterminate outcome: they may have run.
    pub unknown: AtomicU64,
    /// Responses that were incomplete or belonged to another request.
    pub wrong: AtomicU64,
    /// Flag that another thread sets to end the run early.
    pub stop: AtomicBool,
}

/// A run of load, executed by [`chicoryrail_runtime::block_on`].
#[derive(Debug)]
pub struct Load {
    options: LoadOptions,
    progress: Arc<Progress>,
}

struct Shared {
    options: LoadOptions,
    progress: Arc<Progress>,
    pool: Pool,
    balancer: Balancer,
    mix: RefCell<Mix>,
    rng: RefCell<Pcg64Mcg>,
    records: RefCell<Vec<CallRecord>>,
    in_flight: Cell<u32>,
    /// End of the run in microseconds since 1970.
    end_us: u64,
}

impl Load {
    /// Creates a run with the given options.
    #[must_use]
    pub fn new(options: LoadOptions) -> Self {
        Self {
            options,
            progress: Arc::default(),
        }
    }

    /// Returns the counters of the run, to be read by another thread.
    #[must_use]
    pub fn progress(&self) -> Arc<Progress> {
        Arc::clone(&self.progress)
    }

    /// Sends the load and returns a record of each request.
    ///
    /// # Panics
    ///
    /// Panics if the options have no host or no service.
    pub async fn run(self) -> Vec<CallRecord> {
        assert!(!self.options.hosts.is_empty(), "the load needs a host");
        assert!(
            !self.options.services.is_empty(),
            "the load needs a service"
        );
        let seed = self.options.seed;
        let start = unix_micros();
        let prefix = format!("r{seed}-{:x}", start / 1000);
        let mix = Mix::new(&self.options.services, &prefix);
        let shared = Rc::new(Shared {
            progress: self.progress,
            pool: Pool::default(),
            balancer: Balancer::start(&self.options.hosts),
            mix: RefCell::new(mix),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            records: RefCell::default(),
            in_flight: Cell::new(0),
            end_us: start + self.options.duration.0 * 1000,
            options: self.options,
        });
        match shared.options.rate {
            Some(rate) => open_loop(&shared, rate, start).await,
            None => closed_loop(&shared).await,
        }
        shared.records.take()
    }
}

async fn open_loop(shared: &Rc<Shared>, rate: f64, start: u64) {
    let mut next = start as f64;
    loop {
        let sample: f64 = shared.rng.borrow_mut().random_range(f64::MIN_POSITIVE..1.0);
        next += -sample.ln() / rate * 1e6;
        let intended = next as u64;
        if intended >= shared.end_us || shared.progress.stop.load(Relaxed) {
            break;
        }
        let wait = intended.saturating_sub(unix_micros());
        if wait > 0 {
            monoio::time::sleep(Duration::from_micros(wait)).await;
        }
        while shared.in_flight.get() >= MAX_IN_FLIGHT {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        shared.in_flight.set(shared.in_flight.get() + 1);
        let shared = Rc::clone(shared);
        monoio::spawn(async move {
            send_one(&shared, intended).await;
            shared.in_flight.set(shared.in_flight.get() - 1);
        });
    }
    // Every request ends at the latest a fixed time after its deadline, so the wait is bounded.
    while shared.in_flight.get() > 0 {
        monoio::time::sleep(Duration::from_millis(2)).await;
    }
}

async fn closed_loop(shared: &Rc<Shared>) {
    let callers = (0..shared.options.callers).map(|_| {
        let shared = Rc::clone(shared);
        monoio::spawn(async move {
            while unix_micros() < shared.end_us && !shared.progress.stop.load(Relaxed) {
                send_one(&shared, unix_micros()).await;
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await;
    }
}

async fn send_one(shared: &Shared, intended: u64) {
    let request = {
        let mut rng = shared.rng.borrow_mut();
        shared.mix.borrow_mut().next(&mut rng)
    };
    let deadline = request.deadline.unwrap_or(shared.options.deadline);
    let mut record = shared.call(&request, intended, deadline).await;
    while let Some(returned) = return_time(&record, &request) {
        monoio::time::sleep(Duration::from_micros(
            returned.saturating_sub(unix_micros()),
        ))
        .await;
        let returned = unix_micros();
        let left = Millis(record.deadline.saturating_sub(returned) / 1_000);
        record = shared.call(&request, intended, left).await;
        record.returned = Some(returned);
    }
    let progress = &shared.progress;
    let counter = match record.outcome {
        Outcome::Done => &progress.done,
        Outcome::NotRun => &progress.not_run,
        Outcome::Unknown => &progress.unknown,
    };
    counter.fetch_add(1, Relaxed);
    if record.wrong.is_some() {
        progress.wrong.fetch_add(1, Relaxed);
    }
    progress.ended.fetch_add(1, Relaxed);
    shared.records.borrow_mut().push(record);
    // Without a pause, immediate refusals would make a closed loop spin.
    if shared.options.rate.is_none() && shared.last_failed() {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the time at which a refused caller returns, in microseconds since 1970; `None` if it does not. Only callers
/// with a deadline of their own do.
fn return_time(record: &CallRecord, request: &PlannedRequest) -> Option<u64> {
    let retry_after = record.retry_after.filter(|_| request.deadline.is_some())?;
    let time = record.ended + retry_after.min(RETURN_DELAY_MAX).0 * 1_000;
    (time + RETURN_TIME_MIN.0 * 1_000 <= record.deadline).then_some(time)
}

impl Shared {
    /// Sends a request and records its outcome.
    async fn call(&self, request: &PlannedRequest, intended: u64, deadline: Millis) -> CallRecord {
        let hosts = {
            let keeps = self.options.keeps_connections;
            let is_connected = |host| keeps && self.pool.has_idle(host);
            let mut rng = self.rng.borrow_mut();
            self.balancer.host_order(&mut rng, is_connected)
        };
        call(&self.pool, &hosts, request, intended, deadline).await
    }

    fn last_failed(&self) -> bool {
        let records = self.records.borrow();
        records.last().is_some_and(|r| r.outcome != Outcome::Done)
    }
}
