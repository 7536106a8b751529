//! The administration API of one host.

use std::process::ExitCode;

fn main() -> ExitCode {
    chicoryrail_admin::main()
}
