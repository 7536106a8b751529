//! Helpers for the commands: starting cargo, printing results, handling signals.

use std::env;
use std::io;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use chicoryrail_core::Millis;
use serde::Serialize;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;

/// Timeout for every host to become ready after the configuration is stored.
pub(crate) const READY_TIMEOUT: Millis = Millis(20_000);

/// Runs cargo; returns `true` if it succeeded.
pub(crate) fn cargo(args: &[&str]) -> bool {
    run(Command::new("cargo").args(args))
}

/// Builds the documentation with warnings as errors; returns `true` if it succeeded.
pub(crate) fn documentation() -> bool {
    let mut doc = Command::new("cargo");
    doc.args(["doc", "--workspace", "--no-deps", "--locked"])
        .env("RUSTDOCFLAGS", "-D warnings");
    run(&mut doc)
}

/// Builds every program in release mode and runs this command again in release mode, because measurements of a
/// debug build are meaningless; returns `true` if both succeeded.
pub(crate) fn rerun_in_release() -> bool {
    let mut rerun = Command::new("cargo");
    rerun
        .args(["run", "--quiet", "--release", "--package", "xtask", "--"])
        .args(env::args_os().skip(1));
    cargo(&[
        "build",
        "--quiet",
        "--release",
        "--workspace",
        "--bins",
        "--locked",
    ]) && run(&mut rerun)
}

/// Prints a value as one line of JSON; returns `true` if that succeeded.
pub(crate) fn print_json<T: Serialize>(value: &T) -> bool {
    match serde_json::to_string(value) {
        Ok(line) => {
            println!("{line}");
            true
        }
        Err(e) => {
            eprintln!("can't write the result as JSON: {e}");
            false
        }
    }
}

/// Returns a flag that SIGINT and SIGTERM set, so that a command can end its processes.
pub(crate) fn stop_flag() -> io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    Ok(stop)
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
