//! The stand-in of the platform's list of hosts.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_core::Millis;
use chicoryrail_testkit::ListServer;
use chicoryrail_testkit::stand_in;

fn main() -> ExitCode {
    let listen = long("listen")
        .env("CHICORYRAIL_TESTKIT_LISTEN")
        .help("IP address and port to listen on; port 0 lets the system choose")
        .argument::<SocketAddr>("ADDR");
    let lag = long("lag-ms")
        .env("CHICORYRAIL_TESTKIT_LAG_MS")
        .help("Milliseconds by which the list is behind what was put")
        .argument::<u64>("N")
        .fallback(500)
        .display_fallback()
        .map(Millis);
    let (listen, lag) = construct!(listen, lag)
        .to_options()
        .descr("Stand-in of the platform's list of hosts")
        .run();
    stand_in("listen", listen, |listener, stop| {
        ListServer::new(lag).serve(listener, stop)
    })
}
