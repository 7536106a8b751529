//! Entry point of `chicoryrail-timeline`, which merges the logs of all routers into one timeline.

use std::process::ExitCode;

fn main() -> ExitCode {
    chicoryrail_timeline::main()
}
