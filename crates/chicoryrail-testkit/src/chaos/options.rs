//! Settings of a chaos run.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use chicoryrail_core::Millis;

use crate::Deployment;

/// Settings of a chaos run.
#[derive(Clone, Debug)]
pub struct ChaosOptions {
    /// Seed of the faults, the load and the stand-ins.
    pub seed: u64,
    /// Length of the load; faults stop some seconds before its end.
    pub length: Millis,
    /// Whose sizes the run has.
    pub deployment: Deployment,
    /// Entry hosts.
    pub hosts: usize,
    /// Requests a second.
    pub rate: f64,
    /// Faults that are drawn, by their names; all where empty.
    pub only: Vec<String>,
    /// Folder of the programs; the one of the running program where `None`.
    pub bin: Option<PathBuf>,
    /// Whether logs and ledgers are kept where no promise was broken.
    pub keep: bool,
    /// Set by another thread to end the run early.
    pub stop: Arc<AtomicBool>,
}

impl ChaosOptions {
    /// Returns the usual settings: five hosts, 250 requests a second for 20 s.
    ///
    /// With five hosts two may be lost at once and a majority is left.
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

    /// Sets the length of the load.
    #[must_use]
    pub fn with_length(mut self, length: Millis) -> Self {
        self.length = length;
        self
    }
}
