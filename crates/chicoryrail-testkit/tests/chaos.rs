//! Short chaos runs of real processes with fixed seeds.

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;

use chicoryrail_core::Millis;
use chicoryrail_testkit::ChaosOptions;
use chicoryrail_testkit::Deployment;
use chicoryrail_testkit::run_chaos;
use rstest::rstest;

/// Serialises the runs: each starts some 40 processes, and several runs at once overload a small machine.
static SERIAL: Mutex<()> = Mutex::new(());

/// Returns the directory of the programs, the parent of the test's directory. A test run of the whole workspace
/// builds all programs.
fn programs() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.ancestors().nth(2).unwrap().to_owned()
}

/// Guards against violations of the guarantees while faults are injected: two owners of a key at a time, an order
/// run twice, a false "not run", an incomplete or foreign response, a hung request, or a crashed process.
#[rstest]
#[case::updraft(Deployment::Updraft, 5)]
#[case::updraft_again(Deployment::Updraft, 2)]
#[case::tanduay(Deployment::Tanduay, 1)]
fn guarantees_hold_under_faults(#[case] deployment: Deployment, #[case] seed: u64) {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let mut options = ChaosOptions::new(deployment, seed).with_duration(Millis(8_000));
    options.program_dir = Some(programs());
    options.rate = 100.0;
    let summary = run_chaos(&options).unwrap();
    let failures = (summary.found, summary.crashed);
    assert_eq!(failures, (Vec::new(), Vec::new()), "{:?}", summary.kept);
    assert!(summary.ok > 0 && !summary.faults.is_empty());
}

/// Guards against hosts that are killed and started again sending servers more than their warm-up rate.
#[test]
fn servers_that_warm_up_get_no_more_than_their_rate() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let mut options = ChaosOptions::new(Deployment::Updraft, 7_901).with_duration(Millis(12_000));
    options.program_dir = Some(programs());
    options.warmup = Millis(6_000);
    options.hosts = 8;
    options.rate = 100.0;
    options.fault_kinds = ["kill-router", "kill-target", "target-cold"]
        .map(str::to_owned)
        .to_vec();
    let summary = run_chaos(&options).unwrap();
    let failures = (summary.found, summary.crashed);
    assert_eq!(failures, (Vec::new(), Vec::new()), "{:?}", summary.kept);
    assert!(summary.ok > 0 && !summary.faults.is_empty());
}

/// Guards against hosts that have lost their paths to the servers and refuse their callers, and against orders that run
/// twice or false "not run" on the way through other hosts.
#[test]
fn hosts_without_paths_to_servers_serve_their_callers() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let mut options = ChaosOptions::new(Deployment::Updraft, 700).with_duration(Millis(12_000));
    options.program_dir = Some(programs());
    options.rate = 100.0;
    options.fault_kinds = vec!["paths-lost".to_owned()];
    let summary = run_chaos(&options).unwrap();
    let failures = (summary.found, summary.crashed);
    assert_eq!(failures, (Vec::new(), Vec::new()), "{:?}", summary.kept);
    assert!(summary.ok > 0 && !summary.faults.is_empty());
}

/// Guards against a host that gives up a request at a server that is running it and would respond in time, while servers
/// are slow and hosts are stopped one after the other. The faults begin when the hosts know the usual response times.
#[test]
fn requests_at_slow_servers_survive_a_series_of_stops() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let mut options = ChaosOptions::new(Deployment::Tanduay, 3).with_duration(Millis(16_000));
    options.program_dir = Some(programs());
    options.quiet = Millis(9_000);
    options.fault_kinds = vec!["targets-stall".to_owned(), "stop-series".to_owned()];
    let summary = run_chaos(&options).unwrap();
    let failures = (summary.found, summary.crashed);
    assert_eq!(failures, (Vec::new(), Vec::new()), "{:?}", summary.kept);
    assert!(summary.ok > 0 && !summary.faults.is_empty());
}

/// Guards against a host that exits with requests in hand: uploads that tolerate waiting queue at overloaded servers for
/// longer than the grace period, while hosts are stopped one after the other. Each must be answered or refused.
#[test]
fn requests_that_wait_long_are_answered_before_their_host_exits() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let mut options = ChaosOptions::new(Deployment::Updraft, 7506).with_duration(Millis(12_000));
    options.program_dir = Some(programs());
    options.quiet = Millis(3_000);
    options.fault_kinds = vec!["stop-series".to_owned()];
    options.uploads = true;
    options.long_waits = true;
    let summary = run_chaos(&options).unwrap();
    let failures = (summary.found, summary.crashed);
    assert_eq!(failures, (Vec::new(), Vec::new()), "{:?}", summary.kept);
    assert!(summary.ok > 0 && !summary.faults.is_empty());
}

/// Guards against keys that two servers hold: servers restart under their names, take a grant that was meant for the
/// process before, and register later.
#[test]
fn servers_that_restart_hold_no_keys_that_others_hold() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let mut options = ChaosOptions::new(Deployment::Updraft, 9001).with_duration(Millis(14_000));
    options.program_dir = Some(programs());
    options.rate = 100.0;
    options.fault_kinds = vec!["restart-targets".to_owned()];
    let summary = run_chaos(&options).unwrap();
    let failures = (summary.found, summary.crashed);
    assert_eq!(failures, (Vec::new(), Vec::new()), "{:?}", summary.kept);
    assert!(summary.ok > 0 && !summary.faults.is_empty());
}

/// Guards against sizes that no machine bears, or that leave nothing to check: an error names field and value.
#[rstest]
#[case::no_hosts(0, None, 250.0, 0, "hosts = 0: must be 1 to 100")]
#[case::hosts(101, None, 250.0, 0, "hosts = 101: must be 1 to 100")]
#[case::no_servers(5, Some(0), 250.0, 0, "keyed-servers = 0: must be 1 to 200")]
#[case::servers(5, Some(201), 250.0, 0, "keyed-servers = 201: must be 1 to 200")]
#[case::no_load(5, None, 0.0, 0, "rate = 0: must be 1 to 5000")]
#[case::load(5, None, 5_001.0, 0, "rate = 5001: must be 1 to 5000")]
#[case::busy(5, None, 250.0, 65, "busy = 65: must be 0 to 64")]
fn sizes_out_of_range_are_refused(
    #[case] hosts: usize,
    #[case] keyed_servers: Option<usize>,
    #[case] rate: f64,
    #[case] busy: usize,
    #[case] message: &str,
) {
    let mut options = ChaosOptions::new(Deployment::Updraft, 1);
    options.hosts = hosts;
    options.keyed_servers = keyed_servers;
    options.rate = rate;
    options.busy = busy;
    let error = run_chaos(&options).unwrap_err();
    assert_eq!(error.to_string(), message);
}
