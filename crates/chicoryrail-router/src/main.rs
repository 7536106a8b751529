//! The router process of an entry host.

use std::process::ExitCode;

fn main() -> ExitCode {
    chicoryrail_router::run_from_args()
}
