//! A run from arguments to exit code.

use std::io::Write as _;
use std::process::ExitCode;

use bpaf::Args;
use chicoryrail_core::ResultCode;
use chicoryrail_runtime::block_on;
use serde_json::json;

use crate::CtlError;
use crate::execute;
use crate::settings;

/// Runs the command of the process's arguments; the entry point of the binary.
#[must_use]
pub fn main() -> ExitCode {
    let settings = match settings().run_inner(Args::current_args()) {
        Ok(settings) => settings,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    match block_on(execute(&settings)) {
        Ok(text) => {
            // A reader that closed early wants no more of it; that is no failure of the command.
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(e) => fail(&e, settings.json),
    }
}

fn fail(error: &CtlError, json: bool) -> ExitCode {
    let code = error.code();
    if json {
        eprintln!("{}", json!({ "code": code, "error": error.to_string() }));
    } else {
        eprintln!("error {code}: {error}");
    }
    ExitCode::from(if code == ResultCode::SettingInvalid.number() {
        2
    } else {
        1
    })
}
