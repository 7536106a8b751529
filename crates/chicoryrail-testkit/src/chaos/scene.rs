//! The cluster as the lanes of a chaos run share it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use crate::Cluster;
use crate::HostTime;
use crate::Operator;
use crate::OutPeriod;
use crate::chaos::FaultRecord;

/// Step of a wait that may be ended early.
const STEP: Duration = Duration::from_millis(10);

/// What the harness did, beside the faults themselves.
#[derive(Debug, Default)]
pub(crate) struct Done {
    pub(crate) faults: Vec<FaultRecord>,
    pub(crate) outs: Vec<OutPeriod>,
    pub(crate) stops: Vec<HostTime>,
    pub(crate) frozen: Vec<HostTime>,
}

/// A cluster under faults.
///
/// The lock is held for a signal, a start or a script of a link, never over a wait, so that two
/// faults run at once.
#[derive(Debug)]
pub(crate) struct Scene {
    cluster: Mutex<Cluster>,
    done: Mutex<Done>,
    /// Acts of operators that a lane is at.
    claims: Mutex<BTreeSet<String>>,
    stop: Arc<AtomicBool>,
    /// Acts of operators; they don't need the cluster's lock.
    pub(crate) operator: Operator,
}

impl Scene {
    pub(crate) fn new(cluster: Cluster, stop: Arc<AtomicBool>) -> Self {
        Self {
            operator: cluster.operator(),
            cluster: Mutex::new(cluster),
            done: Mutex::default(),
            claims: Mutex::default(),
            stop,
        }
    }

    pub(crate) fn cluster(&self) -> MutexGuard<'_, Cluster> {
        self.cluster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn done(&self) -> MutexGuard<'_, Done> {
        self.done.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Does an act of operators, where no other lane is at the same one: it would bring back what
    /// this one took out, or start what this one waits to see ended.
    pub(crate) fn alone(
        &self,
        name: &str,
        act: impl FnOnce() -> Result<(), String>,
    ) -> Result<(), String> {
        if !self.claims().insert(name.to_owned()) {
            return Err(format!("another lane is at {name}"));
        }
        let result = act();
        self.claims().remove(name);
        result
    }

    fn claims(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stop.load(Relaxed)
    }

    /// Waits, or returns early where the run is to end.
    pub(crate) fn sleep(&self, ms: u64) {
        let until = Instant::now() + Duration::from_millis(ms);
        while !self.is_stopped() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left.min(STEP));
        }
    }

    /// Waits until `ready` holds, at most `ms`; tells whether it does.
    pub(crate) fn wait(&self, ms: u64, mut ready: impl FnMut() -> bool) -> bool {
        let until = Instant::now() + Duration::from_millis(ms);
        while !ready() {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(STEP);
        }
        true
    }
}
