//! Runs a deployment under injected faults and checks its guarantees.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_core::Millis;
use chicoryrail_runtime::exit_with_error;
use chicoryrail_runtime::init_logs;
use chicoryrail_testkit::ChaosOptions;
use chicoryrail_testkit::Deployment;
use chicoryrail_testkit::run_chaos;

fn main() -> ExitCode {
    let deployment = long("deployment")
        .env("CHICORYRAIL_TESTKIT_DEPLOYMENT")
        .help("Deployment to run: updraft or tanduay")
        .argument::<Deployment>("NAME")
        .fallback(Deployment::Updraft)
        .display_fallback();
    let seed = long("seed")
        .env("CHICORYRAIL_TESTKIT_SEED")
        .help("Seed for the faults and the load")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback();
    let seconds = long("seconds")
        .env("CHICORYRAIL_TESTKIT_SECONDS")
        .help("Duration of the load in seconds")
        .argument::<u64>("N")
        .fallback(20)
        .display_fallback();
    let quiet_seconds = long("quiet-seconds")
        .env("CHICORYRAIL_TESTKIT_QUIET_SECONDS")
        .help("Time from the start of the load in which no fault starts, in seconds")
        .argument::<u64>("N")
        .fallback(0)
        .display_fallback();
    let fault_kinds = long("only")
        .env("CHICORYRAIL_TESTKIT_ONLY")
        .help("Names of the faults to inject, separated by commas; all if absent")
        .argument::<String>("NAMES")
        .optional();
    let program_dir = long("programs")
        .env("CHICORYRAIL_TESTKIT_PROGRAMS")
        .help("Directory of the programs; the directory of this program if absent")
        .argument::<PathBuf>("DIR")
        .optional();
    let keep_evidence = long("keep")
        .env("CHICORYRAIL_TESTKIT_KEEP")
        .help("Keeps logs and ledgers even if no violation is found")
        .switch();
    let hosts = long("hosts")
        .env("CHICORYRAIL_TESTKIT_HOSTS")
        .help("Number of entry hosts")
        .argument::<usize>("N")
        .fallback(5)
        .display_fallback();
    let warmup_ms = long("warmup-ms")
        .env("CHICORYRAIL_TESTKIT_WARMUP_MS")
        .help("Time for which a server warms up after its start, in milliseconds; its rate is checked from 2000 on")
        .argument::<u64>("N")
        .fallback(1_500)
        .display_fallback();
    let keyed_servers = long("keyed-servers")
        .env("CHICORYRAIL_TESTKIT_KEYED_SERVERS")
        .help("Number of servers of each service with keys; that of the deployment if absent")
        .argument::<usize>("N")
        .optional();
    let rate = long("rate")
        .env("CHICORYRAIL_TESTKIT_RATE")
        .help("Requests per second")
        .argument::<u32>("N")
        .fallback(250)
        .display_fallback();
    let no_proxy = long("no-proxy")
        .env("CHICORYRAIL_TESTKIT_NO_PROXY")
        .help("Connects hosts to the store and the servers without proxies, and omits their faults")
        .switch();
    let busy = long("busy")
        .env("CHICORYRAIL_TESTKIT_BUSY")
        .help("Number of processes that compute beside the cluster")
        .argument::<usize>("N")
        .fallback(0)
        .display_fallback();
    let uploads = long("uploads")
        .env("CHICORYRAIL_TESTKIT_UPLOADS")
        .help("Makes orders uploads, some of whose callers send and read slowly")
        .switch();
    let long_waits = long("long-waits")
        .env("CHICORYRAIL_TESTKIT_LONG_WAITS")
        .help("Makes orders tolerate waits of 10 s, at servers that are overloaded with them")
        .switch();
    let (
        deployment,
        seed,
        seconds,
        quiet_seconds,
        fault_kinds,
        hosts,
        warmup_ms,
        keyed_servers,
        rate,
        no_proxy,
        busy,
        uploads,
        long_waits,
        program_dir,
        keep_evidence,
    ) = construct!(
        deployment,
        seed,
        seconds,
        quiet_seconds,
        fault_kinds,
        hosts,
        warmup_ms,
        keyed_servers,
        rate,
        no_proxy,
        busy,
        uploads,
        long_waits,
        program_dir,
        keep_evidence
    )
    .to_options()
    .descr("Runs a deployment under injected faults; the last line is a summary in JSON")
    .run();
    init_logs();
    let mut options = ChaosOptions::new(deployment, seed).with_duration(Millis(seconds * 1000));
    options.fault_kinds = fault_kinds
        .iter()
        .flat_map(|names| names.split(','))
        .map(str::to_owned)
        .collect();
    options.quiet = Millis(quiet_seconds * 1000);
    options.hosts = hosts;
    options.warmup = Millis(warmup_ms);
    options.keyed_servers = keyed_servers;
    options.rate = f64::from(rate);
    options.proxied = !no_proxy;
    options.busy = busy;
    options.uploads = uploads;
    options.long_waits = long_waits;
    options.program_dir = program_dir;
    options.keep_evidence = keep_evidence;

    if let Err(e) = stop_on_signal(&options.stop) {
        return exit_with_error(&e.to_string());
    }
    match run_chaos(&options) {
        Ok(summary) => {
            println!("{}", serde_json::to_string(&summary).unwrap_or_default());
            ExitCode::from(u8::from(!summary.is_clean()))
        }
        Err(e) => exit_with_error(&e.to_string()),
    }
}

/// Sets the flag on SIGTERM or SIGINT, so that the run ends early and dropping the cluster kills all its processes.
fn stop_on_signal(stop: &Arc<AtomicBool>) -> std::io::Result<()> {
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(stop))?;
    }
    Ok(())
}
