//! Developer commands; `cargo xtask --help` lists them.

mod bench;
mod chaos;
mod demo;
mod model;
mod tools;

use std::error::Error;
use std::fs;
use std::path::Path;
use std::process::ExitCode;

use bpaf::Bpaf;
use xtask::KnownRed;
use xtask::check_imports;
use xtask::known_red;
use xtask::skip_args;

use crate::bench::Bench;
use crate::bench::bench;
use crate::chaos::Chaos;
use crate::chaos::chaos;
use crate::demo::Demo;
use crate::demo::demo;
use crate::model::ModelSearch;
use crate::model::model_search;
use crate::tools::cargo;
use crate::tools::documentation;
use crate::tools::rerun_in_release;

/// File that lists the tests that are known to fail, in the root of the repository.
const KNOWN_RED: &str = "KNOWN-RED.txt";

/// Developer commands of chicoryrail
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Task {
    /// Checks formatting, imports, lints and documentation and runs the tests, as CI does
    #[bpaf(command)]
    Ci,
    /// Builds all programs and runs every test that is not on the list of known failures
    #[bpaf(command)]
    Test,
    /// Checks formatting, imports, lints and documentation
    #[bpaf(command)]
    Lint,
    /// Formats the workspace
    #[bpaf(command)]
    Fmt,
    /// Starts and configures both deployments with simulated servers and store, runs mixed load, checks the outcome
    #[bpaf(command)]
    Demo(#[bpaf(external(demo))] Demo),
    /// Runs real processes behind a fault-injecting proxy under mixed load and checks that their guarantees hold
    #[bpaf(command)]
    Chaos(#[bpaf(external(chaos))] Chaos),
    /// Measures the cost of a request through a listener, one at a time and pipelined
    #[bpaf(command)]
    Bench(#[bpaf(external(bench))] Bench),
    /// Searches the protocol of leadership terms for two servers that own the same key
    #[bpaf(command)]
    Model(#[bpaf(external(model_search))] ModelSearch),
}

fn main() -> ExitCode {
    let task = task().run();
    let succeeded = match &task {
        Task::Ci => lint() && test(),
        Task::Test => test(),
        Task::Lint => lint(),
        Task::Fmt => cargo(&["fmt", "--all"]),
        Task::Bench(_) | Task::Chaos(_) | Task::Demo(_) if cfg!(debug_assertions) => {
            rerun_in_release()
        }
        Task::Bench(bench) => bench.run(),
        Task::Chaos(chaos) => chaos.run(),
        Task::Demo(demo) => demo.run(),
        Task::Model(search) => search.run(),
    };
    if succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Checks formatting, imports, lints and documentation; returns `true` if all checks succeeded.
fn lint() -> bool {
    cargo(&["fmt", "--all", "--check"])
        && imports()
        && cargo(&[
            "clippy",
            "--workspace",
            "--all-targets",
            "--locked",
            "--",
            "-D",
            "warnings",
        ])
        && documentation()
}

/// Checks the imports of the workspace, which this command is run in; returns `true` if none breaks a rule.
fn imports() -> bool {
    match check_imports(Path::new(".")) {
        Ok(faults) => {
            for fault in &faults {
                eprintln!("{fault}");
            }
            faults.is_empty()
        }
        Err(e) => {
            eprintln!("can't read the source files: {e}");
            false
        }
    }
}

/// Builds the programs and runs every test except for the known failures; returns `true` if all succeeded.
///
/// The programs are built first because process tests start them from the target directory.
fn test() -> bool {
    let list = match read_known_red() {
        Ok(list) => list,
        Err(e) => {
            eprintln!("{KNOWN_RED}: {e}");
            return false;
        }
    };
    for known in &list {
        println!("known red, passed over: {}", known.entry);
    }
    let mut test = vec!["test", "--workspace", "--locked", "--no-fail-fast"];
    test.extend(skip_args(&list));
    cargo(&["build", "--workspace", "--bins", "--locked"]) && cargo(&test)
}

fn read_known_red() -> Result<Vec<KnownRed>, Box<dyn Error>> {
    let text = fs::read_to_string(KNOWN_RED)?;
    Ok(known_red(&text)?)
}
