//! Starting other programs.

use std::env;
use std::fs;
use std::io;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use chicoryrail_core::Millis;
use serde::Serialize;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;

/// Time in which a bundle must be in force everywhere and every gate ready.
pub(crate) const ROLL_LIMIT: Millis = Millis(20_000);

/// Clock ticks a second in which the system counts processor time.
const TICKS: f64 = 100.0;

/// Runs cargo and tells whether it succeeded.
pub(crate) fn cargo(args: &[&str]) -> bool {
    run(Command::new("cargo").args(args))
}

/// Builds the documentation; a warning is an error.
pub(crate) fn documentation() -> bool {
    let mut doc = Command::new("cargo");
    doc.args(["doc", "--workspace", "--no-deps", "--locked"])
        .env("RUSTDOCFLAGS", "-D warnings");
    run(&mut doc)
}

/// Builds every program in release and runs this very chore again in release, since a figure of a
/// debug build says nothing.
pub(crate) fn in_release() -> bool {
    let mut again = Command::new("cargo");
    again
        .args(["run", "--quiet", "--release", "--package", "xtask", "--"])
        .args(env::args_os().skip(1));
    cargo(&[
        "build",
        "--quiet",
        "--release",
        "--workspace",
        "--bins",
        "--locked",
    ]) && run(&mut again)
}

/// Prints a value as one line of JSON and tells whether that worked.
pub(crate) fn print_json<T: Serialize>(value: &T) -> bool {
    match serde_json::to_string(value) {
        Ok(line) => {
            println!("{line}");
            true
        }
        Err(e) => {
            eprintln!("the result can't be written: {e}");
            false
        }
    }
}

/// Returns a flag that SIGINT and SIGTERM set, so that a chore can end its processes.
pub(crate) fn stop_flag() -> io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    Ok(stop)
}

/// Reads the processor time of a process; zero where it has ended.
pub(crate) fn cpu(pid: Option<u32>) -> Duration {
    let read = || {
        let text = fs::read_to_string(format!("/proc/{}/stat", pid?)).ok()?;
        let fields: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |i: usize| fields.get(i)?.parse::<f64>().ok();
        Some((ticks(11)? + ticks(12)?) / TICKS)
    };
    Duration::from_secs_f64(read().unwrap_or(0.0))
}

fn run(command: &mut Command) -> bool {
    match command.status() {
        Ok(status) => status.success(),
        Err(e) => {
            eprintln!("can't start {command:?}: {e}");
            false
        }
    }
}
