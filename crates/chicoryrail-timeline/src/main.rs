//! One ordered time line of the events of all processes.

use std::process::ExitCode;

fn main() -> ExitCode {
    chicoryrail_timeline::main()
}
