//! Runs the tool, from arguments to exit code.

use std::io;
use std::io::Write as _;
use std::process::ExitCode;

use chicoryrail_runtime::exit_with_error;
use chicoryrail_runtime::parse_args;

use crate::LogLine;
use crate::Losses;
use crate::Settings;
use crate::Task;
use crate::merge;
use crate::settings;

/// Runs the tool; the entry point of the binary.
#[must_use]
pub fn main() -> ExitCode {
    let settings = match parse_args(&settings()) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    run(&settings)
}

fn run(settings: &Settings) -> ExitCode {
    let mut texts = Vec::new();
    for path in &settings.logs {
        match std::fs::read(path) {
            Ok(bytes) => texts.push(String::from_utf8_lossy(&bytes).into_owned()),
            Err(e) => return exit_with_error(&format!("--log = {}: {e}", path.display())),
        }
    }
    let lines = merge(texts.iter().map(String::as_str), &settings.filter);
    // Writing fails if the reader closed the output, for example `head`; that is not an error of the tool.
    let _ = print(&lines, &settings.task);
    ExitCode::SUCCESS
}

fn print(lines: &[LogLine], task: &Task) -> io::Result<()> {
    let mut out = io::stdout().lock();
    match task {
        Task::Show => lines.iter().try_for_each(|line| writeln!(out, "{line}")),
        Task::Losses { last, json } => {
            let losses = Losses::of(lines, *last);
            if *json {
                let text = serde_json::to_string(&losses).map_err(io::Error::other)?;
                return writeln!(out, "{text}");
            }
            write!(out, "{losses}")
        }
    }
}
