//! The entry process: admits, queues, routes and retries callers' requests.

use std::process::ExitCode;

fn main() -> ExitCode {
    chicoryrail_gate::run_from_args()
}
