//! The operator's command line over the administration API.

use std::process::ExitCode;

fn main() -> ExitCode {
    chicoryctl::main()
}
