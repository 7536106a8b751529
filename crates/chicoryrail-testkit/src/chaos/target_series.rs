//! Restarts, pauses and stalls of many targets, and of hosts beside them, in rounds.

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use crate::chaos::context::RunContext;
use crate::chaos::host_series::join_notes;
use crate::chaos::series_task::Restart;
use crate::chaos::series_task::SeriesTask;
use crate::cluster::leader_name;

/// Bounds of a random time in milliseconds.
type Bounds = std::ops::Range<u64>;

/// Time from the kill of a target to its restart.
const DOWN_MS: Bounds = 50..1_500;

/// Time from the restart of a target to its registration.
const REGISTER_DELAY_MS: Bounds = 0..1_500;

/// Length of a pause.
const PAUSE_MS: Bounds = 1_000..10_000;

/// Time for which a target accepts and reads nothing.
const STALL_MS: Bounds = 300..6_000;

/// Time from the end of a round to the start of the next one.
const ROUND_GAP_MS: Bounds = 200..2_000;

/// Probability that a paused target is killed instead of resumed.
const KILL_PAUSED: f64 = 0.25;

/// Kills and restarts a fraction of the targets with keys in each round, each `gap_ms` after the one before.
pub(crate) fn restart_targets(
    context: &RunContext,
    share: f64,
    rounds: u32,
    gap_ms: u64,
    seed: u64,
) -> Result<(), String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let keyed = keyed_targets(context);
    run_rounds(context, rounds, gap_ms, || {
        let targets = choose(&mut rng, &keyed, count(share, keyed.len()));
        let restarts = targets.into_iter().map(|t| random_restart(&mut rng, t));
        let tasks = restarts.map(SeriesTask::Restart).collect();
        (tasks, rng.random_range(ROUND_GAP_MS))
    })
}

/// Pauses hosts, the leader among them, and targets with keys at once in each round.
pub(crate) fn pause_many(
    context: &RunContext,
    hosts: usize,
    targets: usize,
    rounds: u32,
    seed: u64,
) -> Result<(), String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let keyed = keyed_targets(context);
    let all_hosts: Vec<_> = (0..context.cluster().hosts().len()).collect();
    run_rounds(context, rounds, 0, || {
        let mut paused = choose(&mut rng, &all_hosts, hosts);
        if let Some(leader) = leader_index(context)
            && !paused.contains(&leader)
        {
            paused.pop();
            paused.push(leader);
        }
        let mut tasks = Vec::new();
        for host in paused {
            let for_ms = rng.random_range(PAUSE_MS);
            tasks.push(SeriesTask::PauseRouter { host, for_ms });
        }
        for target in choose(&mut rng, &keyed, targets) {
            let for_ms = rng.random_range(PAUSE_MS);
            let restart = random_restart(&mut rng, target);
            tasks.push(if rng.random_bool(KILL_PAUSED) {
                SeriesTask::PauseAndRestart { for_ms, restart }
            } else {
                SeriesTask::PauseTarget { target, for_ms }
            });
        }
        (tasks, rng.random_range(ROUND_GAP_MS))
    })
}

/// Makes a fraction of the targets with keys accept and read late in each round.
pub(crate) fn slow_accept(
    context: &RunContext,
    share: f64,
    rounds: u32,
    seed: u64,
) -> Result<(), String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let keyed = keyed_targets(context);
    run_rounds(context, rounds, 0, || {
        let targets = choose(&mut rng, &keyed, count(share, keyed.len()));
        let stall = |target| SeriesTask::StallReads {
            target,
            for_ms: rng.random_range(STALL_MS),
        };
        let tasks = targets.into_iter().map(stall).collect();
        (tasks, rng.random_range(ROUND_GAP_MS))
    })
}

/// Runs rounds until no fault may start any more. `next` returns the tasks of a round, each of which starts `gap_ms` after
/// the one before, and the time to the next round in milliseconds.
fn run_rounds(
    context: &RunContext,
    rounds: u32,
    gap_ms: u64,
    mut next: impl FnMut() -> (Vec<SeriesTask>, u64),
) -> Result<(), String> {
    let mut notes = Vec::new();
    for _ in 0..rounds {
        if context.is_over() {
            break;
        }
        let (tasks, pause_ms) = next();
        notes.extend(run_tasks(context, &tasks, gap_ms));
        context.sleep(pause_ms);
    }
    join_notes(&notes)
}

/// Runs tasks beside one another and returns what failed.
fn run_tasks(context: &RunContext, tasks: &[SeriesTask], gap_ms: u64) -> Vec<String> {
    std::thread::scope(|s| {
        let mut running = Vec::new();
        for task in tasks {
            running.push(s.spawn(|| task.run(context)));
            context.sleep(gap_ms);
        }
        let panicked = |_| Err("the thread of a task panicked".to_owned());
        let ended = running
            .into_iter()
            .map(|t| t.join().unwrap_or_else(panicked));
        ended.filter_map(Result::err).collect()
    })
}

fn random_restart(rng: &mut Pcg64Mcg, target: usize) -> Restart {
    Restart {
        target,
        down_ms: rng.random_range(DOWN_MS),
        register_delay_ms: rng.random_range(REGISTER_DELAY_MS),
    }
}

fn keyed_targets(context: &RunContext) -> Vec<usize> {
    let cluster = context.cluster();
    let services = cluster.options().deployment.services();
    let targets = cluster.targets().iter().enumerate();
    let keyed = targets.filter(|(_, t)| services[t.service].keyed);
    keyed.map(|(i, _)| i).collect()
}

/// Returns the index of the host that leads, as the store names it.
fn leader_index(context: &RunContext) -> Option<usize> {
    // The lock is not held during the call, which takes long while the store is down.
    let store = context.cluster().store();
    let name = leader_name(store)?;
    let cluster = context.cluster();
    cluster.hosts().iter().position(|h| h.name == name)
}

fn choose(rng: &mut Pcg64Mcg, from: &[usize], count: usize) -> Vec<usize> {
    from.choose_multiple(rng, count).copied().collect()
}

fn count(share: f64, all: usize) -> usize {
    ((share * all as f64) as usize).max(1)
}
