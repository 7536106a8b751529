//! Options of a chaos run.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use chicoryrail_core::Millis;

use crate::Deployment;

/// Options of a chaos run.
#[derive(Clone, Debug)]
pub struct ChaosOptions {
    /// Seed of the faults, the load and the stand-ins.
    pub seed: u64,
    /// Duration of the load; no fault starts in the last seconds of it.
    pub length: Millis,
    /// Deployment whose data centres, services and targets the cluster has.
    pub deployment: Deployment,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Requests per second.
    pub rate: f64,
    /// Names of the kinds of faults to inject, as in JSON; empty for the default kinds.
    pub only: Vec<String>,
    /// Directory of the programs; `None` for that of the running program.
    pub bin: Option<PathBuf>,
    /// Whether logs and ledgers are kept after a run without violations.
    pub keep: bool,
    /// Flag that another thread sets to end the run early.
    pub stop: Arc<AtomicBool>,
}

impl ChaosOptions {
    /// Returns the default options: five hosts, 250 requests per second for 20 s.
    ///
    /// Of five hosts two may fail at once and a majority remains.
    #[must_use]
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        Self {
            seed,
            length: Millis(20_000),
            deployment,
            hosts: 5,
            rate: 250.0,
            only: Vec::new(),
            bin: None,
            keep: false,
            stop: Arc::default(),
        }
    }

    /// Sets the duration of the load.
    #[must_use]
    pub fn with_length(mut self, length: Millis) -> Self {
        self.length = length;
        self
    }
}
