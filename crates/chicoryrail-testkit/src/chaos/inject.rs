//! Injection and removal of each kind of fault.

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;

use crate::HostTime;
use crate::Link;
use crate::LinkFault;
use crate::Member;
use crate::OutPeriod;
use crate::StoreFault;
use crate::TargetFault;
use crate::chaos::Fault;
use crate::chaos::context::RunContext;
use crate::chaos::cut_form::CutForm;
use crate::chaos::host_series::reload_series;
use crate::chaos::host_series::rolling_restart;
use crate::chaos::host_series::stop_series;
use crate::chaos::pause::pause;
use crate::chaos::pause::pause_router;
use crate::chaos::target_faults::inject_target_fault;
use crate::chaos::target_faults::stall_targets;
use crate::chaos::target_series::pause_many;
use crate::chaos::target_series::restart_targets;
use crate::chaos::target_series::slow_accept;
use crate::unix_micros;

/// Maximum number of attempts to return a data centre to service before the fault is recorded as failed.
const RESTORE_ATTEMPTS: usize = 20;

/// Delay, after a data centre is taken out of service, from which on its servers must receive no new requests, in
/// microseconds: `evacuate_ms` of the boot file (3 s), plus half a second for the operator's program and for requests
/// in flight.
const DRAIN_DELAY_US: u64 = 3_500_000;

/// Delay, after a server announces that it is draining, from which on it must receive no new requests, in microseconds:
/// `drain_timeout_ms` of the boot file (2 s), plus half a second for requests in flight.
const LEAVE_DELAY_US: u64 = 2_500_000;

/// Time for which a draining server keeps serving before it is killed, in milliseconds.
const LEAVE_DURATION_MS: u64 = 4_000;

/// Injects a fault, waits for its duration and removes it.
///
/// # Errors
///
/// Returns what failed while the fault was injected or removed.
pub(crate) fn inject(context: &RunContext, fault: &Fault) -> Result<(), String> {
    match *fault {
        Fault::KillRouter { host, for_ms } => kill(context, Member::Router(host), for_ms),
        Fault::KillTarget { target, for_ms } => kill(context, Member::Target(target), for_ms),
        Fault::PauseRouter { host, for_ms } => pause_router(context, host, for_ms),
        Fault::PauseTarget { target, for_ms } => pause(context, Member::Target(target), for_ms),
        Fault::StoreAway { host, for_ms } => {
            let link = find_link(context, |l| l.store_link(host).clone());
            disturb_link(context, link, &LinkFault::cut(), for_ms)
        }
        Fault::StoreFar {
            host,
            delay_ms,
            for_ms,
        } => {
            let link = find_link(context, |l| l.store_link(host).clone());
            disturb_link(context, link, &LinkFault::delay(delay_ms, delay_ms), for_ms)
        }
        Fault::StoreDown { polite, for_ms } => {
            inject_store_fault(context, &down(polite, for_ms), for_ms)
        }
        Fault::StoreSlow { delay_ms, for_ms } => {
            inject_store_fault(context, &slow(delay_ms, for_ms), for_ms)
        }
        Fault::StoreLosesAnswers { share, for_ms } => {
            inject_store_fault(context, &StoreFault::LoseAnswers { for_ms, share }, for_ms)
        }
        Fault::TargetAway { target, for_ms } => {
            let link = find_link(context, |l| l.target_link(target).clone());
            disturb_link(context, link, &LinkFault::cut(), for_ms)
        }
        Fault::PathsLost { host, form, for_ms } => lose_paths(context, host, form, for_ms),
        Fault::TargetReset { target } => {
            if let Some(link) = find_link(context, |l| l.target_link(target).clone()) {
                link.reset_connections();
            }
            Ok(())
        }
        Fault::RacingOperators => race_operators(context),
        Fault::DataCentreOut { centre, for_ms } => {
            let name = format!("data centre {centre}");
            context.exclusively(&name, || drain_dc(context, centre, for_ms))
        }
        Fault::TargetLeaves { target } => {
            let name = format!("target {target}");
            context.exclusively(&name, || drain_target(context, target))
        }
        Fault::TargetSaysDraining { target } => {
            let name = format!("target {target}");
            context.exclusively(&name, || say_draining(context, target))
        }
        Fault::RollingRestart => {
            context.exclusively("a rolling restart", || rolling_restart(context))
        }
        Fault::StopSeries { gap_ms } => {
            context.exclusively("a rolling restart", || stop_series(context, gap_ms))
        }
        Fault::ReloadSeries { gap_ms } => {
            context.exclusively("a series of reloads", || reload_series(context, gap_ms))
        }
        Fault::TargetsStall {
            share,
            factor,
            lost,
            for_ms,
        } => context.exclusively("stalled targets", || {
            stall_targets(context, share, factor, lost, for_ms)
        }),
        Fault::RestartTargets {
            share,
            rounds,
            gap_ms,
            seed,
        } => restart_targets(context, share, rounds, gap_ms, seed),
        Fault::PauseMany {
            hosts,
            targets,
            rounds,
            seed,
        } => context.exclusively("a series of pauses", || {
            pause_many(context, hosts, targets, rounds, seed)
        }),
        Fault::SlowAccept {
            share,
            rounds,
            seed,
        } => context.exclusively("stalled reads", || {
            slow_accept(context, share, rounds, seed)
        }),
        Fault::StorePaused { for_ms } => {
            context.exclusively("the paused store", || pause(context, Member::Store, for_ms))
        }
        _ => inject_target_fault(context, fault),
    }
}

fn kill(context: &RunContext, member: Member, for_ms: u64) -> Result<(), String> {
    let from = unix_micros();
    context.cluster().kill(member);
    context.sleep(for_ms);
    let restarted = context.cluster().restart(member);
    if let Member::Router(host) = member {
        context.record_interruption(host, from);
    }
    restarted.map_err(|e| e.to_string())
}

/// Cuts the paths from a host to all targets for a time.
fn lose_paths(context: &RunContext, host: usize, form: CutForm, for_ms: u64) -> Result<(), String> {
    let set = |lines: &str| {
        let cluster = context.cluster();
        let set = cluster.set_cut_paths(Member::Router(host), lines);
        set.map_err(|e| e.to_string())
    };
    let addrs: Vec<_> = {
        let cluster = context.cluster();
        cluster
            .targets()
            .iter()
            .map(|t| t.advertised_addr)
            .collect()
    };
    let lines = addrs.iter().map(|addr| format!("{} {addr}\n", form.word()));
    let from = unix_micros();
    set(&lines.collect::<String>())?;
    context.sleep(for_ms);
    let until = unix_micros();
    set("")?;
    let host = context.cluster().hosts()[host].caller_addr;
    context.events().cuts.push(HostTime { host, from, until });
    Ok(())
}

fn find_link(context: &RunContext, choose: impl FnOnce(&crate::Links) -> Link) -> Option<Link> {
    context.cluster().links().map(choose)
}

/// Applies a fault to a link and removes it after a time.
///
/// A port that is closed because its process has ended stays closed.
fn disturb_link(
    context: &RunContext,
    link: Option<Link>,
    fault: &LinkFault,
    for_ms: u64,
) -> Result<(), String> {
    let Some(link) = link else {
        return Err("the cluster has no links".to_owned());
    };
    link.set_fault(LinkFault {
        closed: link.fault().closed,
        ..fault.clone()
    });
    context.sleep(for_ms);
    link.set_fault(LinkFault {
        closed: link.fault().closed,
        ..LinkFault::default()
    });
    Ok(())
}

const fn down(polite: bool, for_ms: u64) -> StoreFault {
    StoreFault::Down {
        for_ms,
        share: 1.0,
        polite,
        hosts: Vec::new(),
    }
}

const fn slow(delay_ms: u64, for_ms: u64) -> StoreFault {
    StoreFault::Slow {
        for_ms,
        share: 1.0,
        delay_ms,
    }
}

fn inject_store_fault(context: &RunContext, fault: &StoreFault, for_ms: u64) -> Result<(), String> {
    let result = {
        let cluster = context.cluster();
        cluster.put_fault(cluster.store(), fault)
    };
    result.map_err(|e| e.to_string())?;
    context.sleep(for_ms);
    Ok(())
}

/// Writes two configurations at once that differ in a route's latency target.
fn race_operators(context: &RunContext) -> Result<(), String> {
    let operator = &context.operator;
    let first_site = context.site_with_latency_target(Millis(250));
    let second_site = context.site_with_latency_target(Millis(350));
    let (first, second) = std::thread::scope(|s| {
        let first = s.spawn(|| operator.put_config("ada", &first_site));
        let second = operator.put_config("ben", &second_site);
        (first.join(), second)
    });
    match (first, second) {
        (Err(_), _) => Err("the operator's thread panicked".to_owned()),
        (Ok(Err(a)), Err(b)) => Err(format!("neither configuration was accepted: {a}; {b}")),
        _ => Ok(()),
    }
}

fn drain_dc(context: &RunContext, centre: usize, for_ms: u64) -> Result<(), String> {
    let (name, servers) = {
        let cluster = context.cluster();
        let name = cluster.options().deployment.data_centres()[centre];
        let in_centre = cluster.targets().iter().filter(|t| t.dc == name);
        let servers: Vec<_> = in_centre.map(|t| t.name.clone()).collect();
        (DcName::new(name), servers)
    };
    let operator = &context.operator;
    let drained = operator.drain(&name);
    let from = unix_micros() + DRAIN_DELAY_US;
    context.sleep(for_ms);
    let until = unix_micros();
    if drained.is_ok() {
        context.events().outs.push(OutPeriod {
            servers,
            from,
            until,
        });
    }
    let mut restored = Ok(());
    for _ in 0..RESTORE_ATTEMPTS {
        restored = operator.restore(&name);
        if restored.is_ok() {
            break;
        }
        context.sleep(300);
    }
    drained.and(restored).map_err(|e| e.to_string())
}

/// Drains a target: it announces that it is draining, keeps serving for a while, is killed and starts again.
fn drain_target(context: &RunContext, target: usize) -> Result<(), String> {
    let plan = context.cluster().targets()[target].clone();
    let announced = context.cluster().put_fault(plan.addr, &TargetFault::Leave);
    announced.map_err(|e| e.to_string())?;
    let from = unix_micros() + LEAVE_DELAY_US;
    context.sleep(LEAVE_DURATION_MS);
    let until = unix_micros();
    context.events().outs.push(OutPeriod {
        servers: vec![plan.name],
        from,
        until,
    });
    kill(context, Member::Target(target), 200)
}

/// Makes a target say in its responses alone that it is draining; after a while it is killed and starts again.
fn say_draining(context: &RunContext, target: usize) -> Result<(), String> {
    let addr = context.cluster().targets()[target].addr;
    let said = context.cluster().put_fault(addr, &TargetFault::SayDraining);
    said.map_err(|e| e.to_string())?;
    context.sleep(LEAVE_DURATION_MS);
    kill(context, Member::Target(target), 200)
}
