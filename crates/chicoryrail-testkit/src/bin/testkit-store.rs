//! Runs the stand-in for the platform's key-value store.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_testkit::StoreOptions;
use chicoryrail_testkit::StoreServer;
use chicoryrail_testkit::run_stand_in;

fn main() -> ExitCode {
    let listen = long("listen")
        .env("CHICORYRAIL_TESTKIT_LISTEN")
        .help("IP address and port to listen on; with port 0 the system selects a free port")
        .argument::<SocketAddr>("ADDR");
    let writes_per_s = long("writes-per-second")
        .env("CHICORYRAIL_TESTKIT_WRITES")
        .help("Maximum writes per second; the rest gets status 429; no limit if absent")
        .argument::<u32>("N")
        .optional();
    let reads_per_s = long("reads-per-second")
        .env("CHICORYRAIL_TESTKIT_READS")
        .help("Maximum reads per second; the rest gets status 429; no limit if absent")
        .argument::<u32>("N")
        .optional();
    let seed = long("seed")
        .env("CHICORYRAIL_TESTKIT_SEED")
        .help("Seed for faults that affect a fraction of the requests")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback();
    let options = construct!(StoreOptions {
        writes_per_s,
        reads_per_s,
        seed
    });
    let (listen, options) = construct!(listen, options)
        .to_options()
        .descr("Runs a stand-in for the platform's key-value store")
        .run();
    run_stand_in("listen", listen, |listener, stop| {
        StoreServer::new(options).serve(listener, stop)
    })
}
