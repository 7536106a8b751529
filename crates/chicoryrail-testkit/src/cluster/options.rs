//! Settings of a cluster.

use std::path::PathBuf;

use chicoryrail_core::Millis;

use crate::Deployment;

/// Settings of a cluster; [`ClusterOptions::new`] sets the defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterOptions {
    /// Deployment whose services and sizes the cluster has.
    pub deployment: Deployment,
    /// Number of entry hosts, each with a router.
    pub hosts: usize,
    /// Number of servers of each service with keys; that of the deployment if `None`.
    pub keyed_servers: Option<usize>,
    /// Number of processes that only compute.
    pub busy: usize,
    /// Directory of the programs; that of the running program if `None`.
    pub program_dir: Option<PathBuf>,
    /// Directory for logs, ledgers and boot files; `None` creates one in `testkit-runs` beside the program directory.
    pub run_dir: Option<PathBuf>,
    /// Service time of the targets in microseconds.
    pub service_us: u64,
    /// Time for which a target warms up after its start.
    pub warmup: Millis,
    /// Rate limit of the store for writes, per second; `None` for no limit.
    pub writes_per_s: Option<u32>,
    /// Rate limit of the store for reads, per second; `None` for no limit.
    pub reads_per_s: Option<u32>,
    /// Seed of the random faults of the stand-ins and the proxied links.
    pub seed: u64,
    /// Whether orders are uploads.
    pub uploads: bool,
    /// Whether orders tolerate long waits, at servers that are slow.
    pub long_waits: bool,
    /// Whether hosts connect to the store and the targets through fault-injecting proxies.
    pub proxied: bool,
    /// Additional command-line flags of every router.
    pub router_flags: Vec<String>,
    /// Log level of all processes.
    pub log_level: String,
}

impl ClusterOptions {
    /// Returns the default settings for a deployment: one host in each data centre, no warm-up, no proxies.
    #[must_use]
    pub fn new(deployment: Deployment) -> Self {
        Self {
            deployment,
            hosts: deployment.data_centres().len(),
            keyed_servers: None,
            busy: 0,
            program_dir: None,
            run_dir: None,
            service_us: 2_000,
            warmup: Millis::ZERO,
            writes_per_s: None,
            reads_per_s: None,
            seed: 1,
            uploads: false,
            long_waits: false,
            proxied: false,
            router_flags: Vec::new(),
            log_level: "info".to_owned(),
        }
    }

    /// Sets the number of entry hosts, at least 1.
    #[must_use]
    pub fn with_hosts(mut self, hosts: usize) -> Self {
        self.hosts = hosts.max(1);
        self
    }

    /// Sets the time for which a target warms up after its start.
    #[must_use]
    pub fn with_warmup(mut self, warmup: Millis) -> Self {
        self.warmup = warmup;
        self
    }

    /// Makes hosts connect to the store and the targets through fault-injecting proxies.
    #[must_use]
    pub fn with_proxy(mut self) -> Self {
        self.proxied = true;
        self
    }
}
