//! Options of a chaos run.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use chicoryrail_core::Millis;

use crate::ClusterError;
use crate::Deployment;

/// Default time for which a target warms up.
const WARMUP_TIME: Millis = Millis(1_500);

/// Options of a chaos run.
#[derive(Clone, Debug)]
pub struct ChaosOptions {
    /// Seed of the faults, the load and the stand-ins.
    pub seed: u64,
    /// Duration of the load; no fault starts in its last 4 s, so that the cluster can recover.
    pub duration: Millis,
    /// Time from the start of the load in which no fault starts. A host knows the usual response time of a route only
    /// after 200 responses.
    pub quiet: Millis,
    /// Deployment whose data centres, services and targets the cluster has.
    pub deployment: Deployment,
    /// Time for which a target warms up after its start. Its warm-up rate is checked from 2 s on, when all hosts know of the
    /// warm-up.
    pub warmup: Millis,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of servers of each service with keys; that of the deployment if `None`.
    pub keyed_servers: Option<usize>,
    /// Requests per second.
    pub rate: f64,
    /// Whether hosts connect to the store and the targets through fault-injecting proxies. Without them, the faults that
    /// need them are not injected.
    pub proxied: bool,
    /// Number of processes that compute beside the cluster.
    pub busy: usize,
    /// Names of the kinds of faults to inject, as in JSON; empty for the default kinds.
    pub fault_kinds: Vec<String>,
    /// Whether orders are uploads, some of whose callers send and read slowly.
    pub uploads: bool,
    /// Whether orders tolerate waits longer than the grace period of the hosts, at servers that are overloaded with them.
    pub long_waits: bool,
    /// Directory of the programs; `None` for that of the running program.
    pub program_dir: Option<PathBuf>,
    /// Whether logs and ledgers are kept after a run without violations.
    pub keep_evidence: bool,
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
            duration: Millis(20_000),
            quiet: Millis::ZERO,
            deployment,
            warmup: WARMUP_TIME,
            hosts: 5,
            keyed_servers: None,
            rate: 250.0,
            proxied: true,
            busy: 0,
            fault_kinds: Vec::new(),
            uploads: false,
            long_waits: false,
            program_dir: None,
            keep_evidence: false,
            stop: Arc::default(),
        }
    }

    /// Sets the duration of the load.
    #[must_use]
    pub fn with_duration(mut self, duration: Millis) -> Self {
        self.duration = duration;
        self
    }

    /// Checks the sizes.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError::Setting`] for the first one out of its range.
    pub fn check(&self) -> Result<(), ClusterError> {
        let sizes = [
            ("hosts", Some(self.hosts as u64), 1, 100),
            ("warmup-ms", Some(self.warmup.0), 0, 60_000),
            (
                "keyed-servers",
                self.keyed_servers.map(|n| n as u64),
                1,
                200,
            ),
            ("rate", Some(self.rate as u64), 1, 5_000),
            ("busy", Some(self.busy as u64), 0, 64),
        ];
        for (field, value, min, max) in sizes {
            if let Some(value) = value
                && !(min..=max).contains(&value)
            {
                return Err(ClusterError::Setting {
                    field,
                    value,
                    min,
                    max,
                });
            }
        }
        Ok(())
    }
}
