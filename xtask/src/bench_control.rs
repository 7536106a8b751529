//! What control costs while nobody calls, and what it asks of the store.

use std::fs;
use std::thread;
use std::time::Instant;

use bpaf::Bpaf;
use chicoryrail_core::Bundle;
use chicoryrail_core::Millis;
use chicoryrail_testkit::Cluster;
use chicoryrail_testkit::ClusterError;
use chicoryrail_testkit::ClusterOptions;
use chicoryrail_testkit::Deployment;
use chicoryrail_testkit::Member;
use chicoryrail_testkit::StoreStats;
use serde::Serialize;

use crate::tools::cpu;
use crate::tools::print_json;

/// Time in which a bundle must be in force and the gates ready.
const ROLL_LIMIT: Millis = Millis(30_000);

/// Time after which start-up and the moves that follow a roll are over.
const SETTLE: Millis = Millis(5_000);

/// Operator who takes the data centre out.
const OPERATOR: &str = "ada";

/// How long to measure
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ControlBench {
    /// Seconds of each point
    #[bpaf(argument("N"), fallback(8), display_fallback)]
    seconds: u64,
}

/// A size to measure.
#[derive(Clone, Copy, Debug, Serialize)]
struct Size {
    hosts: usize,
    servers: usize,
    slices: u32,
}

/// The cost of one size, per second; processor time in percent of a core.
#[derive(Clone, Debug, Serialize)]
struct Point {
    size: Size,
    moving: bool,
    store_reads: f64,
    store_writes: f64,
    store_waiting: u64,
    controller_cpu: f64,
    gate_cpu: f64,
    admin_cpu: f64,
    controller_sent: f64,
    gate_sent: f64,
    controller_mb: f64,
    gate_mb: f64,
}

/// What one process has used so far.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    cpu: f64,
    sent: f64,
    memory: f64,
}

impl ControlBench {
    /// Measures; false where a process failed.
    pub(crate) fn run(&self) -> bool {
        let sizes = [
            (3, 32, 64),
            (6, 32, 64),
            (10, 32, 64),
            (3, 16, 64),
            (3, 32, 1024),
        ];
        let mut points = Vec::new();
        for (hosts, servers, slices) in sizes {
            match self.size(Size {
                hosts,
                servers,
                slices,
            }) {
                Ok(found) => points.extend(found),
                Err(e) => {
                    eprintln!("{hosts} hosts, {servers} servers, {slices} slices: {e}");
                    return false;
                }
            }
        }
        print(&points);
        print_json(&points)
    }

    fn size(&self, size: Size) -> Result<Vec<Point>, ClusterError> {
        let mut options = ClusterOptions::new(Deployment::Updraft).with_hosts(size.hosts);
        options.log = "warn".to_owned();
        let mut cluster = Cluster::start(options)?;
        cluster.roll_bundle(&shrink(cluster.bundle(), size), ROLL_LIMIT)?;
        cluster.wait_gates(ROLL_LIMIT)?;
        thread::sleep(SETTLE.duration());
        let idle = self.point(&mut cluster, size, false)?;
        if size.hosts != 3 || size.servers != 32 {
            return Ok(vec![idle]);
        }
        let dc = Deployment::Updraft.data_centres()[0];
        cluster.ctl_ok(0, OPERATOR, &["dc", "out", dc, "--force"])?;
        let moving = self.point(&mut cluster, size, true)?;
        Ok(vec![idle, moving])
    }

    fn point(
        &self,
        cluster: &mut Cluster,
        size: Size,
        moving: bool,
    ) -> Result<Point, ClusterError> {
        let stats = |c: &Cluster| c.get::<StoreStats>(c.store(), "/testkit/stats");
        let members: [fn(usize) -> Member; 3] = [Member::Controller, Member::Gate, Member::Admin];
        let before = members.map(|m| used(cluster, m, size.hosts));
        let first = stats(cluster)?;
        let start = Instant::now();
        thread::sleep(Millis(self.seconds * 1_000).duration());
        let seconds = start.elapsed().as_secs_f64();
        let last = stats(cluster)?;
        let after = members.map(|m| used(cluster, m, size.hosts));
        cluster.check()?;
        let rate = |f: fn(&StoreStats) -> u64| (f(&last) - f(&first)) as f64 / seconds;
        let cpu = |i: usize| (after[i].cpu - before[i].cpu) / seconds * 100.0;
        let sent = |i: usize| (after[i].sent - before[i].sent) / seconds;
        Ok(Point {
            size,
            moving,
            store_reads: rate(|s| s.gets + s.lists + s.watches),
            store_writes: rate(|s| s.swaps + s.conflicts + s.leases),
            store_waiting: last.waiting,
            controller_cpu: cpu(0),
            gate_cpu: cpu(1),
            admin_cpu: cpu(2),
            controller_sent: sent(0),
            gate_sent: sent(1),
            controller_mb: after[0].memory,
            gate_mb: after[1].memory,
        })
    }
}

/// Takes servers from the end of each service, and sets the slices.
fn shrink(mut bundle: Bundle, size: Size) -> Bundle {
    let all: usize = bundle.services.iter().map(|s| s.servers.len()).sum();
    for service in &mut bundle.services {
        let keep = service.servers.len() * size.servers / all;
        service.servers.truncate(keep.max(1));
        service.slices = size.slices;
    }
    bundle
}

/// Returns the mean of the processes of a kind. Sent bytes are those that the process wrote; a log
/// at level `warn` adds next to none.
fn used(cluster: &mut Cluster, member: fn(usize) -> Member, hosts: usize) -> Used {
    let mut sum = Used::default();
    for i in 0..hosts {
        let Some(pid) = cluster.pid(member(i)) else {
            continue;
        };
        let file =
            |name: &str| fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
        let field = |text: &str, name: &str| {
            let line = text
                .lines()
                .find_map(|l| l.strip_prefix(name))
                .unwrap_or("0");
            line.split_whitespace()
                .next()
                .and_then(|n| n.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        sum.cpu += cpu(Some(pid)).as_secs_f64();
        sum.sent += field(&file("io"), "wchar:");
        sum.memory += field(&file("status"), "VmRSS:") / 1024.0;
    }
    let n = hosts as f64;
    Used {
        cpu: sum.cpu / n,
        sent: sum.sent / n,
        memory: sum.memory / n,
    }
}

fn print(points: &[Point]) {
    println!(
        "{:>5} {:>7} {:>6} {:>6} | {:>7} {:>7} {:>7} | {:>8} {:>8} {:>8} | {:>9} {:>9} | {:>7} {:>7}",
        "hosts",
        "servers",
        "slices",
        "moving",
        "reads/s",
        "write/s",
        "waiting",
        "ctl %",
        "gate %",
        "admin %",
        "ctl B/s",
        "gate B/s",
        "ctl MB",
        "gate MB"
    );
    for p in points {
        println!(
            "{:>5} {:>7} {:>6} {:>6} | {:>7.1} {:>7.1} {:>7} | {:>8.2} {:>8.2} {:>8.2} | {:>9.0} {:>9.0} | {:>7.1} {:>7.1}",
            p.size.hosts,
            p.size.servers,
            p.size.slices,
            if p.moving { "yes" } else { "no" },
            p.store_reads,
            p.store_writes,
            p.store_waiting,
            p.controller_cpu,
            p.gate_cpu,
            p.admin_cpu,
            p.controller_sent,
            p.gate_sent,
            p.controller_mb,
            p.gate_mb
        );
    }
}
