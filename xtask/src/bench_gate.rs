//! What one gate adds to a call.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use bytes::Bytes;
use chicoryrail_core::Kind;
use chicoryrail_core::Millis;
use chicoryrail_runtime::HttpClient;
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
use chicoryrail_testkit::Member;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::tools::ROLL_LIMIT;
use crate::tools::cpu;
use crate::tools::print_json;

/// Longest a call may take.
const CALL_LIMIT: Millis = Millis(2_000);

/// Callers of the run that finds what the gate bears.
const CALLERS: u32 = 24;

/// How long to measure
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct GateBench {
    /// Pairs of calls, one direct and one through the gate
    #[bpaf(argument("N"), fallback(20_000), display_fallback)]
    pairs: u32,
    /// Seconds of the run that finds what the gate bears
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    seconds: u64,
}

/// Latencies in microseconds and requests a second of one core of the gate.
#[derive(Clone, Debug, Serialize)]
struct Figures {
    direct_p50_us: u64,
    gate_p50_us: u64,
    direct_p99_us: u64,
    gate_p99_us: u64,
    keyed_direct_p50_us: u64,
    keyed_gate_p50_us: u64,
    gate_rps_per_core: f64,
    gate_rps: f64,
    gate_cores: f64,
}

impl GateBench {
    /// Measures; false where a process failed or the gate adds more than 300 us to a median.
    pub(crate) fn run(&self) -> bool {
        match self.figures() {
            Ok(f) => {
                let added = f.gate_p50_us.saturating_sub(f.direct_p50_us);
                let keyed = f.keyed_gate_p50_us.saturating_sub(f.keyed_direct_p50_us);
                println!("the gate adds {added} us (free) and {keyed} us (keyed) to the median");
                print_json(&f) && added <= 300 && keyed <= 300
            }
            Err(e) => {
                eprintln!("the measurement stopped: {e}");
                false
            }
        }
    }

    fn figures(&self) -> Result<Figures, ClusterError> {
        let mut options = ClusterOptions::new(Deployment::Updraft).with_hosts(1);
        options.service_us = 0;
        options.log = "warn".to_owned();
        let mut cluster = Cluster::start(options)?;
        cluster.roll(ROLL_LIMIT)?;
        let (direct, gate) = self.pairs(&cluster, Kind::Free);
        let (keyed_direct, keyed_gate) = self.pairs(&cluster, Kind::Keyed);
        let pid = cluster.pid(Member::Gate(0));
        let before = cpu(pid);
        let start = Instant::now();
        let summary = self.full(&cluster);
        let cores = cpu(pid).saturating_sub(before).as_secs_f64() / start.elapsed().as_secs_f64();
        cluster.check()?;
        Ok(Figures {
            direct_p50_us: direct.value_at_quantile(0.5),
            gate_p50_us: gate.value_at_quantile(0.5),
            direct_p99_us: direct.value_at_quantile(0.99),
            gate_p99_us: gate.value_at_quantile(0.99),
            keyed_direct_p50_us: keyed_direct.value_at_quantile(0.5),
            keyed_gate_p50_us: keyed_gate.value_at_quantile(0.5),
            gate_rps_per_core: summary.rate / cores.max(0.01),
            gate_rps: summary.rate,
            gate_cores: cores,
        })
    }

    /// Calls a server directly and through the gate in turn, so that both meet the same machine.
    ///
    /// A keyed server refuses a direct call, since it carries no fence; the refusal takes the same
    /// way through the server, and is what the direct side of a keyed pair times.
    fn pairs(&self, cluster: &Cluster, kind: Kind) -> (Histogram<u64>, Histogram<u64>) {
        let services = cluster.options().deployment.services();
        let index = services
            .iter()
            .position(|s| s.kind == kind && s.load == LoadKind::Lookup);
        let index = index.expect("both kinds stand in the deployment");
        let target = cluster.targets().iter().find(|t| t.service == index);
        let target = target.expect("every service has a server").addr;
        let gate = cluster.gates()[0].callers;
        let path = format!("{}key-00001?body=200", services[index].path());
        let pairs = self.pairs;
        block_on(async move {
            let client = HttpClient::default();
            let mut times = [histogram(), histogram()];
            for i in 0..pairs + pairs / 10 {
                for (addr, times) in [target, gate].into_iter().zip(&mut times) {
                    let took = call(&client, addr, &path).await;
                    // The first tenth warms pools and caches.
                    if i >= pairs / 10 {
                        times.saturating_record(took.as_micros() as u64);
                    }
                }
            }
            let [direct, gate] = times;
            (direct, gate)
        })
    }

    fn full(&self, cluster: &Cluster) -> LoadSummary {
        let load = Load::new(LoadOptions {
            gates: cluster.gates(),
            services: vec![
                LoadService::new("/v1/kits/", LoadKind::Lookup),
                LoadService::new("/v1/lessons/", LoadKind::Lookup),
            ],
            length: Millis(self.seconds * 1_000),
            callers: CALLERS,
            ..LoadOptions::default()
        });
        LoadSummary::of(&block_on(load.run()))
    }
}

async fn call(client: &HttpClient, addr: SocketAddr, path: &str) -> Duration {
    let request = http::Request::get(path)
        .body(Bytes::new())
        .expect("a constant path is valid");
    let start = Instant::now();
    let _ = client.call(addr, request, CALL_LIMIT).await;
    start.elapsed()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds are valid")
}
