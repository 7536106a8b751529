//! Starting other programs.

use std::env;
use std::io;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use chicoryrail_core::Millis;
use serde::Serialize;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;

/// Time in which every host must take callers after the configuration was put.
pub(crate) const READY_LIMIT: Millis = Millis(20_000);

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

fn run(command: &mut Command) -> bool {
    match command.status() {
        Ok(status) => status.success(),
        Err(e) => {
            eprintln!("can't start {command:?}: {e}");
            false
        }
    }
}
