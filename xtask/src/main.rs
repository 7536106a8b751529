//! Every chore of the project: `cargo xtask ci`, `cargo xtask test`.

use std::process::Command;
use std::process::ExitCode;

use bpaf::Bpaf;

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
}

fn main() -> ExitCode {
    let done = match chore().run() {
        Chore::Ci => lint() && test(),
        Chore::Test => test(),
        Chore::Fmt => cargo(&["+nightly", "fmt", "--all"]),
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

fn documentation() -> bool {
    let mut doc = Command::new("cargo");
    doc.args(["doc", "--workspace", "--no-deps", "--locked"])
        .env("RUSTDOCFLAGS", "-D warnings");
    run(&mut doc)
}

/// The programs are built first: the process tests start them from the target folder.
fn test() -> bool {
    cargo(&["build", "--workspace", "--bins", "--locked"])
        && cargo(&["test", "--workspace", "--locked", "--no-fail-fast"])
}

fn cargo(args: &[&str]) -> bool {
    run(Command::new("cargo").args(args))
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
