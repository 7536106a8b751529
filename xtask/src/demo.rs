//! The `demo` command: both deployments with simulated servers and store, under mixed load.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bpaf::Bpaf;
use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::CallRecord;
use chicoryrail_testkit::Cluster;
use chicoryrail_testkit::ClusterError;
use chicoryrail_testkit::ClusterOptions;
use chicoryrail_testkit::Deployment;
use chicoryrail_testkit::Load;
use chicoryrail_testkit::LoadOptions;
use chicoryrail_testkit::LoadService;
use chicoryrail_testkit::LoadSummary;
use chicoryrail_testkit::Progress;
use chicoryrail_testkit::Violation;
use serde::Serialize;

use crate::tools::READY_TIMEOUT;
use crate::tools::print_json;
use crate::tools::stop_flag;

/// Requests per second to each deployment: a fifth to a quarter of the capacity of its servers.
const RATE_PER_S: f64 = 1_500.0;

/// Options of the load
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Demo {
    /// Duration of the load, in seconds
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    seconds: u64,
    /// Seed of the load
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
}

/// Totals over both deployments.
#[derive(Clone, Debug, Default, Serialize)]
struct Outcomes {
    seed: u64,
    requests: u64,
    ok: u64,
    refused: u64,
    unknown: u64,
    wrong_answer: u64,
    wrong_owner: u64,
    orders_sent: u64,
    orders_doubled: u64,
    orders_lost: u64,
    unauthorised_ran: u64,
    keys_leaked: u64,
    over_quota: u64,
    other_violations: u64,
    p50_ms: f64,
    p99_ms: f64,
}

impl Demo {
    /// Runs the demo; returns false if a guarantee was violated, a step failed or it was interrupted.
    pub(crate) fn run(&self) -> bool {
        let Ok(stop) = stop_flag() else {
            eprintln!("can't install the handlers of SIGINT and SIGTERM");
            return false;
        };
        match self.run_deployments(&stop) {
            Ok(outcomes) => {
                let clean = outcomes.wrong_owner == 0
                    && outcomes.wrong_answer == 0
                    && outcomes.orders_doubled == 0
                    && outcomes.orders_lost == 0
                    && outcomes.unauthorised_ran == 0
                    && outcomes.keys_leaked == 0
                    && outcomes.over_quota == 0
                    && outcomes.other_violations == 0;
                print_json(&outcomes) && clean && !stop.load(Ordering::Relaxed)
            }
            Err(e) => {
                eprintln!("the demo failed: {e}");
                false
            }
        }
    }

    /// Starts and configures both deployments, runs the load on them and checks what was recorded.
    fn run_deployments(&self, stop: &AtomicBool) -> Result<Outcomes, ClusterError> {
        let mut clusters = Vec::new();
        for deployment in [Deployment::Updraft, Deployment::Tanduay] {
            let servers: usize = deployment.services().iter().map(|s| s.servers).sum();
            println!(
                "{deployment}: starting {servers} servers in {} data centres, {} entry hosts",
                deployment.data_centres().len(),
                deployment.data_centres().len()
            );
            let cluster = Cluster::start(ClusterOptions::new(deployment))?;
            cluster.configure(READY_TIMEOUT)?;
            println!(
                "{deployment}: configuration stored, every host ready; logs in {}",
                cluster.dir().display()
            );
            clusters.push(cluster);
            if stop.load(Ordering::Relaxed) {
                return Ok(Outcomes::default());
            }
        }
        let records = self.load(&clusters, stop);
        let mut all = Vec::new();
        let mut outcomes = Outcomes {
            seed: self.seed,
            ..Outcomes::default()
        };
        print_head();
        for (cluster, records) in clusters.iter_mut().zip(records) {
            cluster.ensure_running()?;
            let summary = LoadSummary::of(&records);
            print_summary(cluster.options().deployment, &summary);
            let violations = Violation::find(&cluster.evidence(records.clone())?);
            outcomes.add(&summary, &violations);
            all.extend(records);
        }
        let summary = LoadSummary::of(&all);
        outcomes.p50_ms = summary.p50_ms;
        outcomes.p99_ms = summary.p99_ms;
        Ok(outcomes)
    }

    /// Runs the load on all deployments at once; returns the call records of each.
    fn load(&self, clusters: &[Cluster], stop: &AtomicBool) -> Vec<Vec<CallRecord>> {
        let mut progress = Vec::new();
        let mut threads = Vec::new();
        for cluster in clusters {
            let deployment = cluster.options().deployment;
            let mixed = |s: LoadService| LoadService {
                callers: deployment.mixed_callers(),
                ..s
            };
            let load = Load::new(LoadOptions {
                hosts: cluster.load_hosts(),
                services: deployment.load().into_iter().map(mixed).collect(),
                duration: Millis(self.seconds * 1_000),
                rate: Some(RATE_PER_S),
                seed: self.seed,
                ..LoadOptions::default()
            });
            progress.push(load.progress());
            threads.push(thread::spawn(move || block_on(load.run())));
        }
        while threads.iter().any(|t| !t.is_finished()) {
            thread::sleep(Duration::from_millis(500));
            print_progress(&progress);
            if stop.load(Ordering::Relaxed) {
                progress
                    .iter()
                    .for_each(|p| p.stop.store(true, Ordering::Relaxed));
            }
        }
        threads
            .into_iter()
            .map(|t| t.join().unwrap_or_default())
            .collect()
    }
}

impl Outcomes {
    /// Adds a deployment's summary and the violations that the checker found in the records of callers, servers and
    /// the store.
    fn add(&mut self, summary: &LoadSummary, violations: &[Violation]) {
        self.requests += summary.requests;
        self.ok += summary.ok;
        self.refused += summary.not_run;
        self.unknown += summary.unknown;
        self.wrong_answer += summary.wrong;
        self.orders_sent += summary.orders_sent;
        for violation in violations {
            match violation {
                Violation::OrderTwice { .. } => self.orders_doubled += 1,
                Violation::OrderLost { .. } => self.orders_lost += 1,
                Violation::OwnersOverlap { .. }
                | Violation::FenceBack { .. }
                | Violation::OwnerNotStored { .. } => self.wrong_owner += 1,
                Violation::AnswerWrong { .. } => {}
                Violation::UnauthorisedRan { .. } => self.unauthorised_ran += 1,
                Violation::KeyLeaked { .. } => self.keys_leaked += 1,
                Violation::OverQuota { .. } => self.over_quota += 1,
                _ => self.other_violations += 1,
            }
            println!("violation: {violation:?}");
        }
    }
}

fn print_progress(progress: &[Arc<Progress>]) {
    let sum = |f: fn(&Progress) -> u64| progress.iter().map(|p| f(p)).sum::<u64>();
    println!(
        "load: {:>7} ended, {:>7} answered, {:>4} refused, {:>3} unknown, {:>3} wrong",
        sum(|p| p.ended.load(Ordering::Relaxed)),
        sum(|p| p.done.load(Ordering::Relaxed)),
        sum(|p| p.not_run.load(Ordering::Relaxed)),
        sum(|p| p.unknown.load(Ordering::Relaxed)),
        sum(|p| p.wrong.load(Ordering::Relaxed)),
    );
}

fn print_head() {
    println!(
        "\n{:<10} {:>8} {:>8} {:>8} {:>8} {:>8} | {:^19} | {:^19}",
        "", "", "", "", "", "", "lookups, ms", "orders, ms"
    );
    println!(
        "{:<10} {:>8} {:>8} {:>8} {:>8} {:>8} | {:>9} {:>9} | {:>9} {:>9}",
        "deployment",
        "requests",
        "answered",
        "refused",
        "unknown",
        "orders",
        "p50",
        "p99",
        "p50",
        "p99"
    );
}

fn print_summary(deployment: Deployment, s: &LoadSummary) {
    println!(
        "{:<10} {:>8} {:>8} {:>8} {:>8} {:>8} | {:>9.2} {:>9.2} | {:>9.2} {:>9.2}",
        deployment.name(),
        s.requests,
        s.ok,
        s.not_run,
        s.unknown,
        s.orders_sent,
        s.lookup_p50_ms,
        s.lookup_p99_ms,
        s.order_p50_ms,
        s.order_p99_ms
    );
}
