//! Keeps one core busy for a time.

use std::hint::black_box;
use std::os::unix::process::parent_id;
use std::time::Duration;
use std::time::Instant;

use bpaf::Parser;
use bpaf::long;

/// Number of steps of the computation between two checks of the time.
const STEPS: u64 = 1_000_000;

fn main() {
    let seconds = long("seconds")
        .env("CHICORYRAIL_TESTKIT_SECONDS")
        .help("Time after which the program ends, in seconds")
        .argument::<u64>("N")
        .fallback(60)
        .display_fallback()
        .to_options()
        .descr(
            "Keeps one core busy for a time, at most as long as the program that started it runs",
        )
        .run();
    let (end, parent) = (Instant::now() + Duration::from_secs(seconds), parent_id());
    let mut value = 1_u64;
    while Instant::now() < end && parent_id() == parent {
        for step in 0..STEPS {
            value = black_box(
                value
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(step),
            );
        }
    }
}
