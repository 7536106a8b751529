//! A run from arguments to exit code.

use std::io::Write as _;
use std::process::ExitCode;

use chicoryrail_core::Millis;
use chicoryrail_platform::KvStore;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::from_args;

use crate::Command;
use crate::CtlError;
use crate::Settings;
use crate::change;
use crate::organisation;
use crate::settings;
use crate::status;
use crate::status::Status;

/// Longest time that a call to the store may take: an operator waits rather than try again over a slow link.
const STORE_CALL_LIMIT: Millis = Millis(10_000);

/// Runs the command of the process's arguments; the entry point of the binary.
#[must_use]
pub fn main() -> ExitCode {
    let settings = match from_args(&settings()) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match block_on(execute(&settings)) {
        Ok(text) => {
            // A reader that closed early wants no more of it; that is no failure of the command.
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the command and returns what is printed on standard output.
///
/// # Errors
///
/// Returns why the command did not succeed.
pub async fn execute(settings: &Settings) -> Result<String, CtlError> {
    let json = settings.json;
    let store = match (&settings.command, settings.store) {
        (Command::Check { file }, _) => return change::check(file),
        (_, Some(addr)) => KvStore::new(addr).with_call_limit(STORE_CALL_LIMIT),
        (_, None) => unreachable!("the parser asks for the store"),
    };
    match &settings.command {
        Command::Check { file } => change::check(file),
        Command::Put { file, expect } => change::put(&store, file, *expect).await,
        Command::Show => change::show(&store).await,
        Command::Out { dc, force } => change::out(&store, dc, *force).await,
        Command::In { dc } => change::back(&store, dc).await,
        Command::Organisation(command) => organisation::execute(&store, command, json).await,
        Command::Status => Status::read(&store).await?.print(json),
        Command::Owner { service, key } => status::owner(&store, service, *key, json).await,
    }
}
