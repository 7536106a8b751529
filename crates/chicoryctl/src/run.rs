//! Runs a command, from arguments to exit code.

use std::io::Write as _;
use std::process::ExitCode;

use chicoryrail_core::Millis;
use chicoryrail_platform::KvStore;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::parse_args;

use crate::Command;
use crate::CtlError;
use crate::Settings;
use crate::blocked;
use crate::change;
use crate::organisation;
use crate::settings;
use crate::status;
use crate::status::Status;
use crate::traffic;

/// Timeout of a call to the store. It is long because an operator on a slow link prefers waiting to a retry.
const STORE_CALL_TIMEOUT: Millis = Millis(10_000);

/// Runs the command of the process's arguments; the entry point of the binary.
#[must_use]
pub fn main() -> ExitCode {
    let settings = match parse_args(&settings()) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match block_on(execute(&settings)) {
        Ok(text) => {
            // A closed standard output is not an error of the command: its reader needs no more text.
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the command and returns the text for standard output.
///
/// # Errors
///
/// Returns the error that ended the command.
pub async fn execute(settings: &Settings) -> Result<String, CtlError> {
    let json = settings.json;
    let store = match (&settings.command, settings.store) {
        (Command::Check { file }, _) => return change::check(file),
        (_, Some(addr)) => KvStore::new(addr).with_call_timeout(STORE_CALL_TIMEOUT),
        (_, None) => unreachable!("the parser requires --store for this command"),
    };
    match &settings.command {
        Command::Check { file } => change::check(file),
        Command::Put { file, expect } => change::put(&store, file, *expect).await,
        Command::Show => change::show(&store).await,
        Command::Out { dc, force } => change::drain_dc(&store, dc, *force).await,
        Command::In { dc } => change::restore_dc(&store, dc).await,
        Command::Organisation(command) => organisation::execute(&store, command, json).await,
        Command::Blocked(command) => blocked::execute(&store, command, json).await,
        Command::Traffic(command) => traffic::execute(&store, command, json).await,
        Command::Status => Status::read(&store).await?.render(json),
        Command::Owner { service, key } => status::owner(&store, service, *key, json).await,
    }
}
