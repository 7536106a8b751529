//! How each fault is made and undone.

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;
use chicoryrail_core::Site;

use crate::HostTime;
use crate::Link;
use crate::LinkFault;
use crate::Member;
use crate::OutPeriod;
use crate::StoreFault;
use crate::TargetFault;
use crate::chaos::Fault;
use crate::chaos::scene::Scene;
use crate::wall_micros;

/// Longest time that a process may take for a planned stop, in milliseconds.
const STOP_MS: u64 = 15_000;

/// Longest wait for a restarted router to be ready, in milliseconds.
const READY_MS: u64 = 15_000;

/// Tries to bring a data centre back before the run gives up on it.
const TRIES: usize = 20;

/// Bytes of an answer that pass before it is cut.
const CUT_AFTER: u64 = 40;

/// Time after which a server in a data centre that was taken out gets no new work, in microseconds: the
/// bound of the boot file, and half a second for the operator's program and for what was on its way.
const OUT_AFTER: u64 = 3_500_000;

/// The same for a server that announced its leave.
const LEAVE_AFTER: u64 = 2_500_000;

/// Time for which a leaving server goes on, in milliseconds.
const LEAVE_MS: u64 = 4_000;

/// Makes a fault, waits, and undoes it; returns what did not go as planned.
pub(crate) fn make(scene: &Scene, fault: &Fault) -> Result<(), String> {
    match *fault {
        Fault::KillRouter { host, for_ms } => kill(scene, Member::Router(host), for_ms),
        Fault::KillTarget { target, for_ms } => kill(scene, Member::Target(target), for_ms),
        Fault::PauseRouter { host, for_ms } => pause_router(scene, host, for_ms),
        Fault::PauseTarget { target, for_ms } => pause(scene, Member::Target(target), for_ms),
        Fault::StoreAway { host, for_ms } => {
            let link = link(scene, |l| l.store(host).clone());
            script(scene, link, &LinkFault::cut(), for_ms)
        }
        Fault::StoreFar {
            host,
            delay_ms,
            for_ms,
        } => {
            let link = link(scene, |l| l.store(host).clone());
            script(scene, link, &LinkFault::delay(delay_ms, delay_ms), for_ms)
        }
        Fault::StoreDown { polite, for_ms } => store(scene, &down(polite, for_ms), for_ms),
        Fault::StoreSlow { delay_ms, for_ms } => store(scene, &slow(delay_ms, for_ms), for_ms),
        Fault::StoreLosesAnswers { share, for_ms } => {
            store(scene, &StoreFault::LoseAnswers { for_ms, share }, for_ms)
        }
        Fault::TargetAway { target, for_ms } => {
            let link = link(scene, |l| l.target(target).clone());
            script(scene, link, &LinkFault::cut(), for_ms)
        }
        Fault::TargetReset { target } => {
            if let Some(link) = link(scene, |l| l.target(target).clone()) {
                link.reset();
            }
            Ok(())
        }
        Fault::RacingOperators => race(scene),
        Fault::DataCentreOut { centre, for_ms } => {
            let name = format!("data centre {centre}");
            scene.alone(&name, || centre_out(scene, centre, for_ms))
        }
        Fault::TargetLeaves { target } => {
            let name = format!("target {target}");
            scene.alone(&name, || target_leaves(scene, target))
        }
        Fault::RollingRestart => scene.alone("a rolling restart", || rolling_restart(scene)),
        _ => target_fault(scene, fault),
    }
}

fn kill(scene: &Scene, member: Member, for_ms: u64) -> Result<(), String> {
    scene.cluster().kill(member);
    scene.sleep(for_ms);
    let restarted = scene.cluster().restart(member);
    restarted.map_err(|e| e.to_string())
}

fn pause(scene: &Scene, member: Member, for_ms: u64) -> Result<(), String> {
    scene.cluster().pause(member);
    scene.sleep(for_ms);
    scene.cluster().thaw(member);
    Ok(())
}

fn pause_router(scene: &Scene, host: usize, for_ms: u64) -> Result<(), String> {
    let from = wall_micros();
    pause(scene, Member::Router(host), for_ms)?;
    let host = scene.cluster().hosts()[host].callers;
    let until = wall_micros();
    scene.done().frozen.push(HostTime { host, from, until });
    Ok(())
}

fn link(scene: &Scene, choose: impl FnOnce(&crate::Links) -> Link) -> Option<Link> {
    scene.cluster().links().map(choose)
}

/// Scripts a link and heals it after a time; a port that is closed because its process has ended stays as
/// it is.
fn script(scene: &Scene, link: Option<Link>, fault: &LinkFault, for_ms: u64) -> Result<(), String> {
    let Some(link) = link else {
        return Err("the cluster has no links".to_owned());
    };
    link.set(LinkFault {
        closed: link.fault().closed,
        ..fault.clone()
    });
    scene.sleep(for_ms);
    link.set(LinkFault {
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

fn store(scene: &Scene, fault: &StoreFault, for_ms: u64) -> Result<(), String> {
    let put = {
        let cluster = scene.cluster();
        cluster.put_fault(cluster.store(), fault)
    };
    put.map_err(|e| e.to_string())?;
    scene.sleep(for_ms);
    Ok(())
}

fn target_fault(scene: &Scene, fault: &Fault) -> Result<(), String> {
    let (target, put, wait) = match *fault {
        Fault::TargetSlow {
            target,
            factor,
            for_ms,
        } => (target, TargetFault::Slow { for_ms, factor }, for_ms),
        Fault::TargetCold { target } => (target, TargetFault::Cold { for_ms: None }, 0),
        Fault::TargetLimited {
            target,
            rate,
            for_ms,
        } => (target, TargetFault::NameLimit { for_ms, rate }, for_ms),
        Fault::TargetDeaf { target, for_ms } => (target, TargetFault::Deaf { for_ms }, for_ms),
        Fault::TargetLosesAnswers {
            target,
            share,
            for_ms,
        } => (target, TargetFault::LoseAnswers { for_ms, share }, for_ms),
        Fault::TargetCrossesAnswers {
            target,
            share,
            for_ms,
        } => (target, TargetFault::Crossed { for_ms, share }, for_ms),
        Fault::TargetCutsAnswers {
            target,
            share,
            for_ms,
        } => {
            let cut = TargetFault::Cut {
                for_ms,
                share,
                after: CUT_AFTER,
            };
            (target, cut, for_ms)
        }
        _ => return Err("no fault of a target".to_owned()),
    };
    let addr = scene.cluster().targets()[target].addr;
    let sent = scene.cluster().put_fault(addr, &put);
    sent.map_err(|e| e.to_string())?;
    scene.sleep(wait);
    Ok(())
}

/// Two operators put configurations that differ in a route's aim.
fn race(scene: &Scene) -> Result<(), String> {
    let site = scene.cluster().site();
    let operator = &scene.operator;
    let variant = |aim: u64| {
        let mut routes: Vec<_> = site.routes().iter().map(|r| (**r).clone()).collect();
        routes[0].aim = Millis(aim);
        let site = &site;
        let organisations = site.organisations();
        let organisations = organisations.map(|all| all.iter().map(|o| (**o).clone()).collect());
        Site::new(site.version, site.limits, site.services.clone(), routes)
            .with_organisations(organisations)
    };
    let (ada, ben) = (variant(250), variant(350));
    let (first, second) = std::thread::scope(|s| {
        let first = s.spawn(|| operator.put("ada", &ada));
        let second = operator.put("ben", &ben);
        (first.join(), second)
    });
    match (first, second) {
        (Err(_), _) => Err("the operator's thread panicked".to_owned()),
        (Ok(Err(a)), Err(b)) => Err(format!("neither change was taken: {a}; {b}")),
        _ => Ok(()),
    }
}

fn centre_out(scene: &Scene, centre: usize, for_ms: u64) -> Result<(), String> {
    let (name, servers) = {
        let cluster = scene.cluster();
        let name = cluster.options().deployment.data_centres()[centre];
        let of = cluster.targets().iter().filter(|t| t.dc == name);
        let servers: Vec<_> = of.map(|t| t.name.clone()).collect();
        (DcName::new(name), servers)
    };
    let operator = &scene.operator;
    let taken = operator.take_out(&name);
    let from = wall_micros() + OUT_AFTER;
    scene.sleep(for_ms);
    let until = wall_micros();
    if taken.is_ok() {
        scene.done().outs.push(OutPeriod {
            servers,
            from,
            until,
        });
    }
    let mut last = Ok(());
    for _ in 0..TRIES {
        last = operator.bring_back(&name);
        if last.is_ok() {
            break;
        }
        scene.sleep(300);
    }
    taken.and(last).map_err(|e| e.to_string())
}

/// A target tells that it leaves, serves what still comes, ends, and another start takes its place.
fn target_leaves(scene: &Scene, target: usize) -> Result<(), String> {
    let plan = scene.cluster().targets()[target].clone();
    let told = scene.cluster().put_fault(plan.addr, &TargetFault::Leave);
    told.map_err(|e| e.to_string())?;
    let from = wall_micros() + LEAVE_AFTER;
    scene.sleep(LEAVE_MS);
    let until = wall_micros();
    scene.done().outs.push(OutPeriod {
        servers: vec![plan.name],
        from,
        until,
    });
    kill(scene, Member::Target(target), 200)
}

/// Stops and starts one host after the other, each as planned.
fn rolling_restart(scene: &Scene) -> Result<(), String> {
    let hosts = scene.cluster().hosts().len();
    let mut notes = Vec::new();
    for host in 0..hosts {
        if scene.is_stopped() {
            break;
        }
        if let Err(note) = planned_stop(scene, host) {
            notes.push(note);
        }
        let restarted = scene.cluster().restart(Member::Router(host));
        restarted.map_err(|e| e.to_string())?;
        let addr = scene.cluster().hosts()[host].readiness;
        let limit = Millis(500);
        let ready = scene.wait(READY_MS, || crate::cluster::is_ok(addr, "/-/readyz", limit));
        if !ready {
            notes.push(format!("host {host} does not take callers again"));
        }
    }
    if notes.is_empty() {
        Ok(())
    } else {
        Err(notes.join("; "))
    }
}

fn planned_stop(scene: &Scene, host: usize) -> Result<(), String> {
    let member = Member::Router(host);
    let from = wall_micros();
    scene.cluster().ask_to_stop(member);
    let ended = scene.wait(STOP_MS, || !scene.cluster().is_running(member));
    let until = wall_micros();
    // Reaps it, closes its ports, and kills one that did not end.
    scene.cluster().kill(member);
    let host = scene.cluster().hosts()[host].callers;
    scene.done().stops.push(HostTime { host, from, until });
    if ended {
        Ok(())
    } else {
        Err(format!("{member} did not stop within {STOP_MS} ms"))
    }
}
