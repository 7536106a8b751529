//! State that the workers of a chaos run share.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_core::Site;

use crate::Cluster;
use crate::HostTime;
use crate::Operator;
use crate::OutPeriod;
use crate::chaos::FaultRecord;
use crate::unix_micros;

/// Interval at which a wait checks whether it ends.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What the chaos run did to the cluster, recorded for the checker.
#[derive(Debug, Default)]
pub(crate) struct RunEvents {
    /// Injected faults, in the order of their ends.
    pub(crate) faults: Vec<FaultRecord>,
    /// Periods in which servers must receive no new requests.
    pub(crate) outs: Vec<OutPeriod>,
    /// Planned stops of routers.
    pub(crate) stops: Vec<HostTime>,
    /// Periods in which routers are paused.
    pub(crate) frozen: Vec<HostTime>,
    /// Periods in which hosts have lost their paths to all targets.
    pub(crate) cuts: Vec<HostTime>,
    /// Periods in which routers are killed, stopped or paused.
    pub(crate) interruptions: Vec<HostTime>,
}

/// The cluster and the events of a chaos run.
///
/// The cluster's lock is held for a signal, a start, a change of a link or a call to a stand-in, never for the duration
/// of a fault, so that two faults can be active at once.
#[derive(Debug)]
pub(crate) struct RunContext {
    cluster: Mutex<Cluster>,
    events: Mutex<RunEvents>,
    /// Names of the operator actions in progress.
    active: Mutex<BTreeSet<String>>,
    stop: Arc<AtomicBool>,
    /// Time from which on no fault starts, in microseconds since 1970.
    end_us: u64,
    /// Runs operator actions, which don't need the cluster's lock.
    pub(crate) operator: Operator,
}

impl RunContext {
    pub(crate) fn new(cluster: Cluster, stop: Arc<AtomicBool>, end_us: u64) -> Self {
        Self {
            operator: cluster.operator(),
            cluster: Mutex::new(cluster),
            events: Mutex::default(),
            active: Mutex::default(),
            stop,
            end_us,
        }
    }

    pub(crate) fn cluster(&self) -> MutexGuard<'_, Cluster> {
        self.cluster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn events(&self) -> MutexGuard<'_, RunEvents> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the first configuration with another latency target of its first route.
    pub(crate) fn site_with_latency_target(&self, latency_target: Millis) -> Site {
        let site = self.cluster().site();
        let mut routes: Vec<_> = site.routes().iter().map(|r| (**r).clone()).collect();
        routes[0].latency_target = latency_target;
        let organisations = site.organisations();
        let organisations = organisations.map(|all| all.iter().map(|o| (**o).clone()).collect());
        Site::new(site.version, site.limits, site.services.clone(), routes)
            .with_organisations(organisations)
    }

    /// Records that a router did not run from `from` until now, and returns the period.
    pub(crate) fn record_interruption(&self, host: usize, from: u64) -> HostTime {
        let host = self.cluster().hosts()[host].caller_addr;
        let until = unix_micros();
        let period = HostTime { host, from, until };
        self.events().interruptions.push(period);
        period
    }

    /// Runs an operator action unless another worker is running the action of the same name.
    ///
    /// Two at once would interfere: one would return to service what the other has taken out, or start a
    /// process whose end the other waits for.
    ///
    /// # Errors
    ///
    /// Returns the error of the action, or that another worker is running it.
    pub(crate) fn exclusively(
        &self,
        name: &str,
        action: impl FnOnce() -> Result<(), String>,
    ) -> Result<(), String> {
        if !self.active().insert(name.to_owned()) {
            return Err(format!("another worker is busy with {name}"));
        }
        let result = action();
        self.active().remove(name);
        result
    }

    fn active(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stop.load(Relaxed)
    }

    /// Returns `true` if no fault may start any more.
    pub(crate) fn is_over(&self) -> bool {
        self.is_stopped() || unix_micros() >= self.end_us
    }

    /// Sleeps for `ms` milliseconds, or until the run is stopped.
    pub(crate) fn sleep(&self, ms: u64) {
        let deadline = Instant::now() + Duration::from_millis(ms);
        while !self.is_stopped() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            std::thread::sleep(remaining.min(POLL_INTERVAL));
        }
    }

    /// Waits until `ready` returns `true`, at most `ms` milliseconds; returns `true` if it did.
    pub(crate) fn wait_until(&self, ms: u64, mut ready: impl FnMut() -> bool) -> bool {
        let deadline = Instant::now() + Duration::from_millis(ms);
        while !ready() {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        true
    }
}
