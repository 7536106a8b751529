//! How each fault is made and undone.

use chicoryrail_core::Millis;

use crate::GateTime;
use crate::Link;
use crate::LinkFault;
use crate::Member;
use crate::OutPeriod;
use crate::Pause;
use crate::StoreFault;
use crate::TargetFault;
use crate::chaos::Fault;
use crate::chaos::Ways;
use crate::chaos::scene::Scene;
use crate::wall_micros;

/// Longest time that a process may take for a planned stop, in milliseconds.
const STOP_MS: u64 = 15_000;

/// Longest wait for a restarted gate to be ready, in milliseconds.
const READY_MS: u64 = 15_000;

/// Bytes of an answer that pass before it is cut.
const CUT_AFTER: u64 = 40;

/// Makes a fault, waits, and undoes it; returns what did not go as planned.
pub(crate) fn make(scene: &Scene, fault: &Fault, seed: u64) -> Result<(), String> {
    match *fault {
        Fault::KillGate { host, for_ms } => kill(scene, &[Member::Gate(host)], for_ms),
        Fault::KillController { host, for_ms } => kill(scene, &[Member::Controller(host)], for_ms),
        Fault::KillHost { host, for_ms } => kill(scene, &host_members(host), for_ms),
        Fault::KillTarget { target, for_ms } => kill(scene, &[Member::Target(target)], for_ms),
        Fault::PauseGate { host, for_ms } => pause_gate(scene, host, for_ms),
        Fault::PauseController { host, for_ms } => pause(scene, Member::Controller(host), for_ms),
        Fault::PauseTarget { target, for_ms } => pause_target(scene, target, for_ms),
        Fault::Partition { host, ways, for_ms } => {
            script(scene, &partition(scene, host, ways), for_ms)
        }
        Fault::StoreAway { host, for_ms } => {
            let link = links(scene, |l| vec![l.store(host).clone()]);
            let cut = |link| (link, LinkFault::cut());
            script(
                scene,
                &link.into_iter().map(cut).collect::<Vec<_>>(),
                for_ms,
            )
        }
        Fault::HostSlow {
            host,
            delay_ms,
            for_ms,
        } => {
            let slow = |link| (link, LinkFault::delay(delay_ms, delay_ms));
            let links = out_links(scene, host).into_iter().map(slow);
            script(scene, &links.collect::<Vec<_>>(), for_ms)
        }
        Fault::StoreDown { polite, for_ms } => store(scene, &down(polite, for_ms), for_ms),
        Fault::StoreSlow { delay_ms, for_ms } => store(scene, &slow(delay_ms, for_ms), for_ms),
        Fault::StoreLosesAnswers { share, for_ms } => {
            store(scene, &StoreFault::LoseAnswers { for_ms, share }, for_ms)
        }
        Fault::TargetAway { target, for_ms } => {
            let link = links(scene, |l| vec![l.target(target).clone()]);
            let cut = |link| (link, LinkFault::cut());
            script(
                scene,
                &link.into_iter().map(cut).collect::<Vec<_>>(),
                for_ms,
            )
        }
        Fault::TargetReset { target } => {
            links(scene, |l| vec![l.target(target).clone()])
                .iter()
                .for_each(Link::reset);
            Ok(())
        }
        Fault::RacingOperators => race(scene),
        Fault::DataCentreOut { centre, for_ms } => {
            let name = format!("data centre {centre}");
            scene.alone(&name, || centre_out(scene, centre, for_ms, seed))
        }
        Fault::RollingRestart => scene.alone("a rolling restart", || rolling_restart(scene)),
        _ => target_fault(scene, fault),
    }
}

fn host_members(host: usize) -> [Member; 3] {
    [
        Member::Gate(host),
        Member::Controller(host),
        Member::Admin(host),
    ]
}

fn kill(scene: &Scene, members: &[Member], for_ms: u64) -> Result<(), String> {
    for member in members {
        scene.cluster().kill(*member);
    }
    scene.sleep(for_ms);
    for member in members {
        let restarted = scene.cluster().restart(*member);
        restarted.map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn pause(scene: &Scene, member: Member, for_ms: u64) -> Result<(), String> {
    scene.cluster().pause(member);
    scene.sleep(for_ms);
    scene.cluster().thaw(member);
    Ok(())
}

fn pause_gate(scene: &Scene, host: usize, for_ms: u64) -> Result<(), String> {
    let from = wall_micros();
    pause(scene, Member::Gate(host), for_ms)?;
    let gate = scene.cluster().hosts()[host].callers;
    let until = wall_micros();
    scene.done().frozen.push(GateTime { gate, from, until });
    Ok(())
}

fn pause_target(scene: &Scene, target: usize, for_ms: u64) -> Result<(), String> {
    let from = wall_micros();
    pause(scene, Member::Target(target), for_ms)?;
    let server = scene.cluster().targets()[target].name.clone();
    scene.done().pauses.push(Pause {
        server,
        from,
        until: wall_micros(),
    });
    Ok(())
}

fn links(scene: &Scene, choose: impl FnOnce(&crate::Links) -> Vec<Link>) -> Vec<Link> {
    scene.cluster().links().map(choose).unwrap_or_default()
}

/// Returns the links from a host to the other hosts and to the store.
fn out_links(scene: &Scene, host: usize) -> Vec<Link> {
    let hosts = scene.cluster().hosts().len();
    links(scene, |l| {
        let others = (0..hosts).flat_map(|to| l.between(host, to));
        others.chain([l.store(host)]).cloned().collect()
    })
}

/// Returns the links from the other hosts to a host.
fn in_links(scene: &Scene, host: usize) -> Vec<Link> {
    let hosts = scene.cluster().hosts().len();
    links(scene, |l| {
        let others = (0..hosts).flat_map(|from| l.between(from, host));
        others.cloned().collect()
    })
}

/// Returns what each link does while a host is cut off. On a link from the host, up is what it
/// sends; on a link to the host, down is.
fn partition(scene: &Scene, host: usize, ways: Ways) -> Vec<(Link, LinkFault)> {
    let (sent, received) = match ways {
        Ways::Both => (true, true),
        Ways::Out => (true, false),
        Ways::In => (false, true),
    };
    let cut = |cut_up, cut_down| LinkFault {
        cut_up,
        cut_down,
        ..LinkFault::default()
    };
    let out = out_links(scene, host).into_iter();
    let back = in_links(scene, host).into_iter();
    out.map(|l| (l, cut(sent, received)))
        .chain(back.map(|l| (l, cut(received, sent))))
        .collect()
}

/// Scripts links and heals them after a time; a port that is closed because its process has ended
/// stays as it is.
fn script(scene: &Scene, faults: &[(Link, LinkFault)], for_ms: u64) -> Result<(), String> {
    for (link, fault) in faults {
        let closed = link.fault().closed;
        link.set(LinkFault {
            closed,
            ..fault.clone()
        });
    }
    scene.sleep(for_ms);
    for (link, _) in faults {
        let closed = link.fault().closed;
        link.set(LinkFault {
            closed,
            ..LinkFault::default()
        });
    }
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
        Fault::TargetCold {
            target,
            new_instance,
        } => {
            let cold = TargetFault::Cold {
                for_ms: None,
                new_instance,
            };
            (target, cold, 0)
        }
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

/// Two operators roll bundles that differ in a server's weight, through two hosts.
fn race(scene: &Scene) -> Result<(), String> {
    let (bundle, hosts) = {
        let cluster = scene.cluster();
        (cluster.bundle(), cluster.hosts().len())
    };
    let variant = |weight: f64| {
        let mut bundle = bundle.clone();
        if let Some(server) = bundle.services[0].servers.first_mut() {
            server.weight = weight;
        }
        bundle
    };
    let (ada, ben) = (variant(1.5), variant(0.75));
    let (first, second) = std::thread::scope(|s| {
        let first = s.spawn(|| scene.operator.roll(0, "ada", &ada));
        let second = scene.operator.roll(hosts - 1, "ben", &ben);
        (first.join(), second)
    });
    let first = first.unwrap_or_else(|_| Err("the operator's thread panicked".to_owned()));
    match (first, second) {
        (Err(a), Err(b)) => Err(format!("neither roll was taken: {a}; {b}")),
        _ => Ok(()),
    }
}

fn centre_out(scene: &Scene, centre: usize, for_ms: u64, seed: u64) -> Result<(), String> {
    let (name, servers) = {
        let cluster = scene.cluster();
        let name = cluster.options().deployment.data_centres()[centre];
        let of = cluster.targets().iter().filter(|t| t.dc == name);
        (name, of.map(|t| t.name.clone()).collect::<Vec<_>>())
    };
    let host = seed as usize % scene.cluster().hosts().len();
    let taken = scene.operator.take_out(host, name);
    let from = wall_micros();
    scene.sleep(for_ms);
    let until = wall_micros();
    if taken.is_ok() {
        scene.done().outs.push(OutPeriod {
            servers,
            from,
            until,
        });
    }
    scene.operator.bring_back(host, name)?;
    taken
}

/// Stops and starts one host after the other, each as planned: the gate first, so that it can hand
/// over while its controller runs.
fn rolling_restart(scene: &Scene) -> Result<(), String> {
    let hosts = scene.cluster().hosts().len();
    let mut notes = Vec::new();
    for host in 0..hosts {
        if scene.is_stopped() {
            break;
        }
        for member in host_members(host) {
            if let Err(note) = planned_stop(scene, member) {
                notes.push(note);
            }
        }
        for member in host_members(host) {
            let restarted = scene.cluster().restart(member);
            restarted.map_err(|e| e.to_string())?;
        }
        let addr = scene.cluster().hosts()[host].gate_observe;
        let limit = Millis(500);
        let ready = scene.wait(READY_MS, || crate::cluster::is_ok(addr, "/readyz", limit));
        if !ready {
            notes.push(format!("the gate of host {host} is not ready again"));
        }
    }
    if notes.is_empty() {
        Ok(())
    } else {
        Err(notes.join("; "))
    }
}

fn planned_stop(scene: &Scene, member: Member) -> Result<(), String> {
    let from = wall_micros();
    scene.cluster().ask_to_stop(member);
    let ended = scene.wait(STOP_MS, || !scene.cluster().is_running(member));
    let until = wall_micros();
    // Reaps it, closes its ports, and kills one that did not end.
    scene.cluster().kill(member);
    if let Member::Gate(host) = member {
        let gate = scene.cluster().hosts()[host].callers;
        scene.done().stops.push(GateTime { gate, from, until });
    }
    if ended {
        Ok(())
    } else {
        Err(format!("{member} did not stop within {STOP_MS} ms"))
    }
}
