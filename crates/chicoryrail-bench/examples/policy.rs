//! `cargo run --release -p chicoryrail-bench --example policy [CASE [SEED [SEEDS]]]`.

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().filter(|c| c != "all");
    let seed = args.next().and_then(|s| s.parse().ok()).unwrap_or(1);
    let seeds = args.next().and_then(|s| s.parse().ok()).unwrap_or(10);
    match chicoryrail_bench::policy::run(case.as_deref(), seed, seeds) {
        Ok(report) => println!("{report}"),
        Err(e) => eprintln!("{e}"),
    }
}
