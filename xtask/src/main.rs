//! Every chore of the project; `cargo xtask --help` lists them.

mod bench;
mod chaos;
mod demo;
mod tools;

use std::error::Error;
use std::fs;
use std::process::ExitCode;

use bpaf::Bpaf;
use xtask::KnownRed;
use xtask::known_red;
use xtask::skip_args;

use crate::bench::Bench;
use crate::bench::bench;
use crate::chaos::Chaos;
use crate::chaos::chaos;
use crate::demo::Demo;
use crate::demo::demo;
use crate::tools::cargo;
use crate::tools::documentation;
use crate::tools::in_release;

/// List of the tests that are known to fail, in the root of the repository.
const KNOWN_RED: &str = "KNOWN-RED.txt";

/// The chores of the project
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Chore {
    /// Formatter, linter, documentation and every test: what CI runs
    #[bpaf(command)]
    Ci,
    /// Builds everything and runs every test
    #[bpaf(command)]
    Test,
    /// Formats the workspace
    #[bpaf(command)]
    Fmt,
    /// Starts both deployments on stand-ins, puts a configuration, runs mixed load and checks the outcome
    #[bpaf(command)]
    Demo(#[bpaf(external(demo))] Demo),
    /// Real processes behind a fault-injecting proxy under mixed load, judged by a checker
    #[bpaf(command)]
    Chaos(#[bpaf(external(chaos))] Chaos),
    /// What a request costs on its way through a listener, alone and behind others on its connection
    #[bpaf(command)]
    Bench(#[bpaf(external(bench))] Bench),
}

fn main() -> ExitCode {
    let chore = chore().run();
    let done = match &chore {
        Chore::Ci => lint() && test(),
        Chore::Test => test(),
        Chore::Fmt => cargo(&["+nightly", "fmt", "--all"]),
        Chore::Bench(_) | Chore::Chaos(_) | Chore::Demo(_) if cfg!(debug_assertions) => {
            in_release()
        }
        Chore::Bench(bench) => bench.run(),
        Chore::Chaos(chaos) => chaos.run(),
        Chore::Demo(demo) => demo.run(),
    };
    if done {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn lint() -> bool {
    cargo(&["+nightly", "fmt", "--all", "--check"])
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

/// The programs are built first: the process tests start them from the target folder.
fn test() -> bool {
    let list = match read_known_red() {
        Ok(list) => list,
        Err(e) => {
            eprintln!("{KNOWN_RED}: {e}");
            return false;
        }
    };
    for red in &list {
        println!("known red, passed over: {}", red.entry);
    }
    let mut test = vec!["test", "--workspace", "--locked", "--no-fail-fast"];
    test.extend(skip_args(&list));
    cargo(&["build", "--workspace", "--bins", "--locked"]) && cargo(&test)
}

fn read_known_red() -> Result<Vec<KnownRed>, Box<dyn Error>> {
    let text = fs::read_to_string(KNOWN_RED)?;
    Ok(known_red(&text)?)
}
