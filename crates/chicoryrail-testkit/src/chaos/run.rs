//! A chaos run, from the start of the cluster to the summary.

use std::fs;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;

use crate::CallRecord;
use crate::Cluster;
use crate::ClusterError;
use crate::ClusterOptions;
use crate::Evidence;
use crate::HostTime;
use crate::LONG_WAIT_TIMEOUT;
use crate::Load;
use crate::LoadKind;
use crate::LoadOptions;
use crate::LoadService;
use crate::Summary;
use crate::Violation;
use crate::chaos::Fault;
use crate::chaos::FaultRecord;
use crate::chaos::context::RunContext;
use crate::chaos::context::RunEvents;
use crate::chaos::options::ChaosOptions;
use crate::chaos::random_fault::ClusterSize;
use crate::chaos::worker::run_worker;
use crate::unix_micros;

/// Number of worker threads that inject faults: this many faults can be active at once.
const WORKERS: u64 = 2;

/// Time before the end of the load in which no fault starts, so that the cluster can recover.
const RECOVERY_TIME: Millis = Millis(4_000);

/// Timeout for the first successful readiness check of each host.
const READY_TIMEOUT: Millis = Millis(30_000);

/// Number of keys that the load uses in each service: few, so that each is requested often enough to
/// measure how long it is unavailable.
const KEYS_PER_SERVICE: u32 = 40;

/// Bytes of the response to an upload: more than a host buffers, so that it is streamed to slow readers.
const UPLOAD_RESPONSE_BYTES: u64 = 100_000;

/// Runs a deployment under faults and checks the records of callers, targets and the store.
///
/// # Errors
///
/// Returns an error if the cluster fails to start or its evidence cannot be read. Violations are not errors;
/// the summary lists them.
pub fn run(options: &ChaosOptions) -> Result<Summary, ClusterError> {
    options.check()?;
    let started = Instant::now();
    let cluster = start(options)?;
    cluster.configure(READY_TIMEOUT)?;
    // Wait until the targets are warmed up: while every server is warming up, none has a usual service time to
    // compare with. Later warm-ups come from faults.
    std::thread::sleep(
        options
            .warmup
            .to_duration()
            .saturating_sub(started.elapsed()),
    );
    let size = ClusterSize {
        hosts: cluster.hosts().len(),
        targets: cluster.targets().len(),
        data_centres: options.deployment.data_centres().len(),
        proxied: options.proxied,
    };
    let load = Load::new(load(options, &cluster));
    let end_us = unix_micros() + options.duration.since(RECOVERY_TIME).0 * 1000;
    let context = RunContext::new(cluster, std::sync::Arc::clone(&options.stop), end_us);
    let progress = load.progress();
    let quiet = options.quiet;
    let records = std::thread::scope(|s| {
        for i in 0..WORKERS {
            let (context, seed) = (&context, options.seed.wrapping_mul(WORKERS).wrapping_add(i));
            s.spawn(move || {
                context.sleep(quiet.0);
                run_worker(context, seed, size, &options.fault_kinds);
            });
        }
        let load_thread = s.spawn(|| block_on(load.run()));
        while !load_thread.is_finished() {
            if context.is_stopped() {
                progress
                    .stop
                    .store(true, std::sync::atomic::Ordering::Relaxed);
            }
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
        load_thread.join().unwrap_or_default()
    });
    finish(options, &context, records)
}

fn start(options: &ChaosOptions) -> Result<Cluster, ClusterError> {
    let mut cluster = ClusterOptions::new(options.deployment)
        .with_hosts(options.hosts)
        .with_warmup(options.warmup);
    cluster.proxied = options.proxied;
    cluster.keyed_servers = options.keyed_servers;
    cluster.busy = options.busy;
    cluster.seed = options.seed;
    cluster.uploads = options.uploads;
    cluster.long_waits = options.long_waits;
    cluster.program_dir.clone_from(&options.program_dir);
    Cluster::start(cluster)
}

fn load(options: &ChaosOptions, cluster: &Cluster) -> LoadOptions {
    let with_few_keys = |s: LoadService| {
        let mut service = s.with_keys(KEYS_PER_SERVICE, 0.0);
        if options.uploads && service.kind == LoadKind::Order {
            service.kind = LoadKind::Upload;
            service.body = UPLOAD_RESPONSE_BYTES;
        }
        if options.long_waits && service.kind.runs_once() {
            service.deadline = Some(LONG_WAIT_TIMEOUT);
        }
        service
    };
    LoadOptions {
        hosts: cluster.load_hosts(),
        services: options
            .deployment
            .load()
            .into_iter()
            .map(with_few_keys)
            .collect(),
        duration: options.duration,
        rate: Some(options.rate),
        seed: options.seed,
        keeps_connections: true,
        ..LoadOptions::default()
    }
}

fn finish(
    options: &ChaosOptions,
    context: &RunContext,
    records: Vec<CallRecord>,
) -> Result<Summary, ClusterError> {
    let mut cluster = context.cluster();
    let crashed = cluster.ensure_running().err().map(|e| e.to_string());
    let RunEvents {
        mut faults,
        outs,
        stops,
        frozen,
        cuts,
        interruptions,
    } = std::mem::take(&mut *context.events());
    faults.sort_by_key(|f| f.from);
    let severed = faults.iter().filter(|f| f.fault.severs_connections());
    let mut evidence = Evidence {
        severed: severed.map(FaultRecord::period).collect(),
        terminations: stops.clone(),
        outs,
        frozen,
        stops,
        cuts,
        interruptions,
        ..cluster.evidence(records)?
    };
    discard_disturbed(&mut evidence, &faults);
    let violations = Violation::find(&evidence);
    let mut summary = Summary {
        deployment: options.deployment.to_string(),
        seed: options.seed,
        crashed: crashed.into_iter().collect(),
        ..Summary::of(&evidence.records, &faults).with_violations(&violations)
    };
    let dir = cluster.dir().to_owned();
    if summary.is_clean() && !options.keep_evidence {
        let _ = fs::remove_dir_all(dir);
        return Ok(summary);
    }
    summary.kept = Some(dir.display().to_string());
    let parts = [
        ("violations.json", serde_json::to_string_pretty(&violations)),
        ("faults.json", serde_json::to_string_pretty(&faults)),
        ("evidence.json", serde_json::to_string(&evidence)),
    ];
    for (name, text) in parts {
        let _ = fs::write(dir.join(name), text.unwrap_or_default());
    }
    Ok(summary)
}

/// Time after the end of a fault for which its effects may last, in microseconds.
const LINGERING_EFFECT_US: u64 = 1_000_000;

/// Time before the start of a period out of service or before an overrun in which a fault can have delayed the
/// announcement, in microseconds. It covers the longest delay allowed for an announcement, and the longest time for
/// which a watch delivers no events after an outage.
const MAX_ANNOUNCEMENT_DELAY_US: u64 = 5_000_000;

/// Removes evidence of guarantees that hold only without certain concurrent faults: that a planned stop leaves no
/// request without a response, that announcements of servers and operators in the store take effect in time, and that
/// advertised limits are kept.
fn discard_disturbed(evidence: &mut Evidence, faults: &[FaultRecord]) {
    let overlaps = |f: &FaultRecord, from: u64, until: u64| {
        f.from <= until && f.until + LINGERING_EFFECT_US >= from
    };
    let is_disturbed = |s: &HostTime| {
        let mut faults = faults.iter().filter(|f| !f.fault.allows_planned_stops());
        faults.any(|f| overlaps(f, s.from, s.until))
    };
    evidence.stops.retain(|s| !is_disturbed(s));
    let is_compared = |c: &HostTime| {
        let other = |f: &&FaultRecord| !matches!(f.fault, Fault::PathsLost { .. });
        !faults
            .iter()
            .filter(other)
            .any(|f| overlaps(f, c.from, c.until))
    };
    evidence.cuts.retain(is_compared);
    let may_be_delayed = |from: u64, until: u64| {
        let mut faults = faults.iter().filter(|f| f.fault.delays_announcements());
        faults.any(|f| overlaps(f, from.saturating_sub(MAX_ANNOUNCEMENT_DELAY_US), until))
    };
    evidence.outs.retain(|o| !may_be_delayed(o.from, o.until));
    evidence
        .overruns
        .retain(|o| !may_be_delayed(o.time, o.time));
    let host_interrupted = |from: u64, until: u64| {
        let mut faults = faults.iter().filter(|f| f.fault.interrupts_hosts());
        faults.any(|f| overlaps(f, from.saturating_sub(MAX_ANNOUNCEMENT_DELAY_US), until))
    };
    evidence
        .limit_overruns
        .retain(|o| !host_interrupted(o.time, o.time));
}
