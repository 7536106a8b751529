//! Stops and reloads the hosts in series.

use chicoryrail_core::Millis;

use crate::Member;
use crate::chaos::context::RunContext;
use crate::unix_micros;

/// Longest time for a planned stop of a process, in milliseconds; a slower process is killed.
const STOP_TIMEOUT_MS: u64 = 15_000;

/// Longest wait until a restarted router passes its readiness check, in milliseconds.
const READY_TIMEOUT_MS: u64 = 15_000;

/// Restarts the hosts one after another, each by a planned stop.
pub(crate) fn rolling_restart(context: &RunContext) -> Result<(), String> {
    let hosts = context.cluster().hosts().len();
    let mut notes = Vec::new();
    for host in 0..hosts {
        if context.is_stopped() {
            break;
        }
        notes.extend(restart_host(context, host).err());
    }
    join_notes(&notes)
}

/// Restarts the hosts, each by a planned stop `gap_ms` after that of the one before.
pub(crate) fn stop_series(context: &RunContext, gap_ms: u64) -> Result<(), String> {
    let hosts = context.cluster().hosts().len();
    let mut notes = Vec::new();
    std::thread::scope(|s| {
        let mut restarts = Vec::new();
        for host in 0..hosts {
            if context.is_stopped() {
                break;
            }
            restarts.push(s.spawn(move || restart_host(context, host)));
            context.sleep(gap_ms);
        }
        for restart in restarts {
            match restart.join() {
                Ok(result) => notes.extend(result.err()),
                Err(_) => notes.push("the thread of a restart panicked".to_owned()),
            }
        }
    });
    join_notes(&notes)
}

/// Sends SIGHUP to the hosts, each `gap_ms` after the one before, and changes the configuration each time.
pub(crate) fn reload_series(context: &RunContext, gap_ms: u64) -> Result<(), String> {
    let hosts = context.cluster().hosts().len();
    let mut notes = Vec::new();
    for host in 0..hosts {
        if context.is_stopped() {
            break;
        }
        context.cluster().reload(Member::Router(host));
        let latency_target = if host % 2 == 0 { 250 } else { 300 };
        let site = context.site_with_latency_target(Millis(latency_target));
        let put = context.operator.put_config("series", &site);
        notes.extend(put.err().map(|e| e.to_string()));
        context.sleep(gap_ms);
    }
    join_notes(&notes)
}

/// Restarts a host by a planned stop and waits until it is ready.
fn restart_host(context: &RunContext, host: usize) -> Result<(), String> {
    let stopped = planned_stop(context, host);
    let restarted = context.cluster().restart(Member::Router(host));
    restarted.map_err(|e| e.to_string())?;
    let addr = context.cluster().hosts()[host].readiness_addr;
    let timeout = Millis(500);
    let ready = context.wait_until(READY_TIMEOUT_MS, || {
        crate::cluster::responds_ok(addr, "/-/readyz", timeout)
    });
    if !ready {
        return Err(format!(
            "host {host} is not ready again within {READY_TIMEOUT_MS} ms"
        ));
    }
    stopped
}

fn planned_stop(context: &RunContext, host: usize) -> Result<(), String> {
    let member = Member::Router(host);
    let from = unix_micros();
    context.cluster().request_stop(member);
    let ended = context.wait_until(STOP_TIMEOUT_MS, || !context.cluster().is_running(member));
    let period = context.record_interruption(host, from);
    // Reaps the process, closes its ports, and kills it if it is still running.
    context.cluster().kill(member);
    context.events().stops.push(period);
    if ended {
        Ok(())
    } else {
        Err(format!("{member} did not stop within {STOP_TIMEOUT_MS} ms"))
    }
}

pub(crate) fn join_notes(notes: &[String]) -> Result<(), String> {
    if notes.is_empty() {
        Ok(())
    } else {
        Err(notes.join("; "))
    }
}
