//! The stand-in of the platform's key-value service.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_testkit::StoreOptions;
use chicoryrail_testkit::StoreServer;
use chicoryrail_testkit::stand_in;

fn main() -> ExitCode {
    let listen = long("listen")
        .env("CHICORYRAIL_TESTKIT_LISTEN")
        .help("IP address and port to listen on; port 0 lets the system choose")
        .argument::<SocketAddr>("ADDR");
    let writes = long("writes-per-second")
        .env("CHICORYRAIL_TESTKIT_WRITES")
        .help("Writes a second that pass; the rest gets status 429")
        .argument::<u32>("N")
        .optional();
    let reads = long("reads-per-second")
        .env("CHICORYRAIL_TESTKIT_READS")
        .help("Reads a second that pass; the rest gets status 429")
        .argument::<u32>("N")
        .optional();
    let seed = long("seed")
        .env("CHICORYRAIL_TESTKIT_SEED")
        .help("Seed of the faults that strike a share of the calls")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback();
    let options = construct!(StoreOptions {
        writes,
        reads,
        seed
    });
    let (listen, options) = construct!(listen, options)
        .to_options()
        .descr("Stand-in of the platform's key-value service")
        .run();
    stand_in("listen", listen, |listener, stop| {
        StoreServer::new(options).serve(listener, stop)
    })
}
