//! Entry point of `chicoryctl`, the command line for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    chicoryctl::main()
}
