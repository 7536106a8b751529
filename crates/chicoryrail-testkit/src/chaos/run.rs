//! A chaos run from start to summary.

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
use crate::Load;
use crate::LoadOptions;
use crate::LoadService;
use crate::Summary;
use crate::Violation;
use crate::chaos::FaultRecord;
use crate::chaos::fault::Sizes;
use crate::chaos::lane::lane;
use crate::chaos::options::ChaosOptions;
use crate::chaos::scene::Done;
use crate::chaos::scene::Scene;
use crate::wall_micros;

/// Lanes that make faults: two faults at once.
const LANES: u64 = 2;

/// Time before the end of the load in which no fault starts, so that what was cut can heal.
const CALM: Millis = Millis(4_000);

/// Length of a target's cold start in a chaos run.
const COLD: Millis = Millis(1_500);

/// Longest time until every host takes callers.
const READY_LIMIT: Millis = Millis(30_000);

/// Keys that the load asks for in each service: few, so that each is asked for often enough to see
/// how long it is unavailable.
const KEYS: u32 = 40;

/// Runs a deployment under faults and checks what callers, targets and the store saw.
///
/// # Errors
///
/// Returns why the cluster could not be started or its evidence not be read; broken promises are
/// in the summary.
pub fn run(options: &ChaosOptions) -> Result<Summary, ClusterError> {
    let started = Instant::now();
    let cluster = start(options)?;
    cluster.configure(READY_LIMIT)?;
    // The run is of a deployment at work: where every server is cold alike, none has a usual
    // service time to compare with. Later cold starts come as faults.
    std::thread::sleep(COLD.duration().saturating_sub(started.elapsed()));
    let sizes = Sizes {
        hosts: cluster.hosts().len(),
        targets: cluster.targets().len(),
        centres: options.deployment.data_centres().len(),
    };
    let load = Load::new(load(options, &cluster));
    let scene = Scene::new(cluster, std::sync::Arc::clone(&options.stop));
    let ends = wall_micros() + options.length.since(CALM).0 * 1000;
    let progress = load.progress();
    let records = std::thread::scope(|s| {
        for i in 0..LANES {
            let (scene, seed) = (&scene, options.seed.wrapping_mul(LANES).wrapping_add(i));
            s.spawn(move || lane(scene, seed, sizes, &options.only, ends));
        }
        let loaded = s.spawn(|| block_on(load.run()));
        while !loaded.is_finished() {
            if scene.is_stopped() {
                progress
                    .stop
                    .store(true, std::sync::atomic::Ordering::Relaxed);
            }
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
        loaded.join().unwrap_or_default()
    });
    finish(options, &scene, records)
}

fn start(options: &ChaosOptions) -> Result<Cluster, ClusterError> {
    let mut cluster = ClusterOptions::new(options.deployment)
        .with_hosts(options.hosts)
        .with_cold(COLD)
        .with_proxy();
    cluster.seed = options.seed;
    cluster.bin.clone_from(&options.bin);
    Cluster::start(cluster)
}

fn load(options: &ChaosOptions, cluster: &Cluster) -> LoadOptions {
    let few = |s: LoadService| s.with_keys(KEYS, 0.0);
    LoadOptions {
        hosts: cluster.entries(),
        services: options.deployment.load().into_iter().map(few).collect(),
        length: options.length,
        rate: Some(options.rate),
        seed: options.seed,
        ..LoadOptions::default()
    }
}

fn finish(
    options: &ChaosOptions,
    scene: &Scene,
    records: Vec<CallRecord>,
) -> Result<Summary, ClusterError> {
    let mut cluster = scene.cluster();
    let crashed = cluster.check().err().map(|e| e.to_string());
    let Done {
        mut faults,
        outs,
        stops,
        frozen,
    } = std::mem::take(&mut *scene.done());
    faults.sort_by_key(|f| f.from);
    let mut seen = Evidence {
        outs,
        frozen,
        stops,
        ..cluster.evidence(records)?
    };
    leave_out_disturbed(&mut seen, &faults);
    let violations = Violation::find(&seen);
    let mut summary = Summary {
        deployment: options.deployment.to_string(),
        seed: options.seed,
        crashed: crashed.into_iter().collect(),
        ..Summary::of(&seen.records, &faults).with_violations(&violations)
    };
    let dir = cluster.dir().to_owned();
    if summary.is_clean() && !options.keep {
        let _ = fs::remove_dir_all(dir);
        return Ok(summary);
    }
    summary.kept = Some(dir.display().to_string());
    let parts = [
        ("violations.json", serde_json::to_string_pretty(&violations)),
        ("faults.json", serde_json::to_string_pretty(&faults)),
        ("evidence.json", serde_json::to_string(&seen)),
    ];
    for (name, text) in parts {
        let _ = fs::write(dir.join(name), text.unwrap_or_default());
    }
    Ok(summary)
}

/// Time after a fault in which its effect may last, in microseconds.
const AFTER: u64 = 1_000_000;

/// Time before an announcement's bound in which a fault may have kept it from being heard, in microseconds:
/// the longest time allowed, and the time for which the longest watch stays silent after an outage.
const BEFORE: u64 = 5_000_000;

/// Leaves out what is promised of an undisturbed system only: that a planned stop cuts no request, and that
/// what a server or operator announces in the store is heard in time.
fn leave_out_disturbed(seen: &mut Evidence, faults: &[FaultRecord]) {
    let during =
        |f: &FaultRecord, from: u64, until: u64| f.from <= until && f.until + AFTER >= from;
    let unplanned = |s: &HostTime| {
        let mut faults = faults.iter().filter(|f| !f.fault.is_planned());
        faults.any(|f| during(f, s.from, s.until))
    };
    seen.stops.retain(|s| !unplanned(s));
    let unheard = |from: u64, until: u64| {
        let mut faults = faults.iter().filter(|f| f.fault.delays_news());
        faults.any(|f| during(f, from.saturating_sub(BEFORE), until))
    };
    seen.outs.retain(|o| !unheard(o.from, o.until));
    seen.overruns.retain(|o| !unheard(o.time, o.time));
    let host_struck = |from: u64, until: u64| {
        let mut faults = faults.iter().filter(|f| f.fault.strikes_hosts());
        faults.any(|f| during(f, from.saturating_sub(BEFORE), until))
    };
    seen.limit_overruns.retain(|o| !host_struck(o.time, o.time));
}
