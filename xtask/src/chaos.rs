//! The `chaos` command: randomised runs with injected faults.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bpaf::Bpaf;
use chicoryrail_core::Millis;
use chicoryrail_testkit::ChaosOptions;
use chicoryrail_testkit::Deployment;
use chicoryrail_testkit::run_chaos;

use crate::tools::print_json;
use crate::tools::stop_flag;

/// Options of the runs
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Chaos {
    /// Seed of the faults and the load
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of runs, each with the next seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seeds: u64,
    /// Duration of the load of each run, in seconds
    #[bpaf(argument("N"), fallback(20), display_fallback)]
    seconds: u64,
    /// Time from the start of the load in which no fault starts, in seconds
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    quiet_seconds: u64,
    /// Deployment to run: updraft or tanduay
    #[bpaf(argument("NAME"), fallback(Deployment::Updraft), display_fallback)]
    deployment: Deployment,
    /// Injects only faults of this name; may be given several times
    #[bpaf(argument("FAULT"))]
    only: Vec<String>,
    /// Number of entry hosts
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    hosts: usize,
    /// Time for which a server warms up after its start, in milliseconds; its rate is checked from 2000 on
    #[bpaf(argument("N"), fallback(1_500), display_fallback)]
    warmup_ms: u64,
    /// Number of servers of each service with keys; that of the deployment if absent
    #[bpaf(argument("N"))]
    keyed_servers: Option<usize>,
    /// Requests per second
    #[bpaf(argument("N"), fallback(250), display_fallback)]
    rate: u32,
    /// Connects hosts to the store and the servers without proxies, and omits their faults
    no_proxy: bool,
    /// Number of processes that compute beside the cluster
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    busy: usize,
    /// Makes orders uploads, some of whose callers send and read slowly
    uploads: bool,
    /// Makes orders tolerate waits of 10 s, at servers that are overloaded with them
    long_waits: bool,
    /// Keeps logs and ledgers even if no violation was found
    keep: bool,
}

impl Chaos {
    /// Runs every seed and prints one line of JSON per run; returns `false` on a violation, failure or interrupt.
    pub(crate) fn run(&self) -> bool {
        let Ok(stop) = stop_flag() else {
            eprintln!("can't install the handlers of SIGINT and SIGTERM");
            return false;
        };
        let mut clean = true;
        for seed in self.seed..self.seed + self.seeds {
            let mut options = ChaosOptions::new(self.deployment, seed)
                .with_duration(Millis(self.seconds * 1_000));
            options.fault_kinds.clone_from(&self.only);
            options.quiet = Millis(self.quiet_seconds * 1_000);
            options.hosts = self.hosts;
            options.warmup = Millis(self.warmup_ms);
            options.keyed_servers = self.keyed_servers;
            options.rate = f64::from(self.rate);
            options.proxied = !self.no_proxy;
            options.busy = self.busy;
            options.uploads = self.uploads;
            options.long_waits = self.long_waits;
            options.keep_evidence = self.keep;
            options.stop = Arc::clone(&stop);
            match run_chaos(&options) {
                Ok(summary) => clean &= print_json(&summary) && summary.is_clean(),
                Err(e) => {
                    eprintln!("run with seed {seed} failed: {e}");
                    clean = false;
                }
            }
            if stop.load(Ordering::Relaxed) {
                return false;
            }
        }
        clean
    }
}
