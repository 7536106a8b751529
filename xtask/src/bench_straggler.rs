//! The tail of a free service while servers turn slow for moments.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::Duration;

use bpaf::Bpaf;
use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::Cluster;
use chicoryrail_testkit::ClusterError;
use chicoryrail_testkit::ClusterOptions;
use chicoryrail_testkit::Deployment;
use chicoryrail_testkit::Load;
use chicoryrail_testkit::LoadKind;
use chicoryrail_testkit::LoadOptions;
use chicoryrail_testkit::LoadService;
use chicoryrail_testkit::LoadSummary;
use chicoryrail_testkit::TargetFault;
use chicoryrail_testkit::call_blocking;
use http::Method;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::tools::ROLL_LIMIT;
use crate::tools::print_json;

/// Service of twelve servers, any of which may answer.
const SERVICE: &str = "cask-history";

/// Entry hosts.
const HOSTS: usize = 3;

/// Service time of a server in microseconds.
const SERVICE_US: u64 = 5_000;

/// Age of the servers' load reports.
const REPORT_AGE: Millis = Millis(1_000);

/// Factor on the service time of a slow server.
const SLOWER: f64 = 10.0;

/// Names of the placements, ours first.
const PLACEMENTS: [&str; 3] = ["policy", "round-robin", "least-requests"];

/// How long to measure
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct StragglerBench {
    /// Seconds of load for each placement
    #[bpaf(argument("N"), fallback(15), display_fallback)]
    seconds: u64,
    /// Lookups a second
    #[bpaf(argument("N"), fallback(2_000.0), display_fallback)]
    rate: f64,
    /// Seed of the load and of the slow moments
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
}

/// What callers saw under one placement.
#[derive(Clone, Debug, Serialize)]
struct Figures {
    placement: &'static str,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    requests: u64,
    ok: u64,
    not_run: u64,
    unknown: u64,
    wrong: u64,
    /// Sends beyond one for each request, in percent of the requests.
    extra_percent: f64,
}

/// All placements, and ours against the better baseline.
#[derive(Clone, Debug, Serialize)]
struct Report {
    placements: Vec<Figures>,
    p99_ratio: f64,
    p999_ratio: f64,
}

impl StragglerBench {
    /// Measures; false where a process failed or an answer was wrong.
    pub(crate) fn run(&self) -> bool {
        let measured: Result<Vec<_>, _> = PLACEMENTS.into_iter().map(|p| self.measure(p)).collect();
        let placements = match measured {
            Ok(figures) => figures,
            Err(e) => {
                eprintln!("the measurement stopped: {e}");
                return false;
            }
        };
        let best = |of: fn(&Figures) -> f64| {
            let others = placements[1..].iter().map(of);
            others.fold(f64::INFINITY, f64::min)
        };
        let report = Report {
            p99_ratio: placements[0].p99_ms / best(|f| f.p99_ms),
            p999_ratio: placements[0].p999_ms / best(|f| f.p999_ms),
            placements,
        };
        for f in &report.placements {
            println!(
                "{:>15}: p50 {:.1} ms, p99 {:.1} ms, p999 {:.1} ms, {} of {} answered, {:.2} % extra",
                f.placement, f.p50_ms, f.p99_ms, f.p999_ms, f.ok, f.requests, f.extra_percent
            );
        }
        print_json(&report) && report.placements.iter().all(|f| f.wrong == 0)
    }

    fn measure(&self, placement: &'static str) -> Result<Figures, ClusterError> {
        let mut options = ClusterOptions::new(Deployment::Tanduay).with_hosts(HOSTS);
        options.service_us = SERVICE_US;
        options.report_age = REPORT_AGE;
        options.seed = self.seed;
        options.log = "warn".to_owned();
        options.gate_flags = vec!["--placement".to_owned(), placement.to_owned()];
        let mut cluster = Cluster::start(options)?;
        cluster.roll(ROLL_LIMIT)?;
        let load = Load::new(LoadOptions {
            gates: cluster.gates(),
            services: vec![LoadService::new(
                &format!("/v1/{SERVICE}/"),
                LoadKind::Lookup,
            )],
            length: Millis(self.seconds * 1_000),
            rate: Some(self.rate),
            seed: self.seed,
            ..LoadOptions::default()
        });
        let stop = Arc::new(AtomicBool::new(false));
        let records = thread::scope(|scope| {
            let slow = scope.spawn(|| self.slow_down(&cluster, &stop));
            let records = block_on(load.run());
            stop.store(true, Relaxed);
            slow.join().unwrap_or(Ok(())).map(|()| records)
        })?;
        let extra = extra(&cluster)?;
        cluster.check()?;
        let s = LoadSummary::of(&records);
        Ok(Figures {
            placement,
            p50_ms: s.p50_ms,
            p99_ms: s.p99_ms,
            p999_ms: s.p999_ms,
            requests: s.requests,
            ok: s.ok,
            not_run: s.not_run,
            unknown: s.unknown,
            wrong: s.wrong,
            extra_percent: extra * 100.0 / s.requests.max(1) as f64,
        })
    }

    /// Slows one server after the other down, each for 200 to 800 ms, with short rests between.
    fn slow_down(&self, cluster: &Cluster, stop: &AtomicBool) -> Result<(), ClusterError> {
        let services = cluster.options().deployment.services();
        let servers: Vec<_> = cluster
            .targets()
            .iter()
            .filter(|t| services[t.service].name == SERVICE)
            .collect();
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        while !stop.load(Relaxed) {
            let server = servers[rng.random_range(0..servers.len())];
            let for_ms = rng.random_range(200..=800);
            let slow = TargetFault::Slow {
                for_ms,
                factor: SLOWER,
            };
            cluster.put_fault(server.addr, &slow)?;
            thread::sleep(Duration::from_millis(for_ms + rng.random_range(50..=150)));
        }
        Ok(())
    }
}

/// Adds up what the gates sent beyond one for each request.
fn extra(cluster: &Cluster) -> Result<f64, ClusterError> {
    let mut sum = 0.0;
    for host in cluster.hosts() {
        let limit = Millis(5_000);
        let (_, text) = call_blocking(&Method::GET, host.gate_observe, "/metrics", "", limit)?;
        let text = String::from_utf8_lossy(&text);
        let names = ["gate_hedges_total ", "gate_retries_total "];
        let lines = text.lines().filter_map(|l| l.strip_prefix("chicoryrail_"));
        let values = lines.filter_map(|l| names.iter().find_map(|n| l.strip_prefix(n)));
        sum += values.filter_map(|v| v.parse::<f64>().ok()).sum::<f64>();
    }
    Ok(sum)
}
