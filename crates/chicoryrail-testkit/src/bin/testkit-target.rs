//! The stand-in of a target (server).

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_testkit::TargetOptions;
use chicoryrail_testkit::TargetServer;
use chicoryrail_testkit::stand_in;

fn options() -> impl Parser<TargetOptions> {
    let name = long("name")
        .env("CHICORYRAIL_TESTKIT_NAME")
        .help("Name of the server")
        .argument::<ServerName>("NAME")
        .guard(
            ServerName::is_valid,
            "must be 1 to 64 characters of a-z 0-9 - _ .",
        );
    let slots = long("slots")
        .env("CHICORYRAIL_TESTKIT_SLOTS")
        .help("Requests that run at the same time")
        .argument::<u32>("N")
        .fallback(2)
        .display_fallback();
    let queue = long("queue")
        .env("CHICORYRAIL_TESTKIT_QUEUE")
        .help("Requests that wait for a slot; one more is shed")
        .argument::<u32>("N")
        .fallback(8)
        .display_fallback();
    let connections = long("connections")
        .env("CHICORYRAIL_TESTKIT_CONNECTIONS")
        .help("Connections accepted at a time")
        .argument::<u32>("N")
        .fallback(120)
        .display_fallback();
    let keyed = long("keyed")
        .env("CHICORYRAIL_TESTKIT_KEYED")
        .help("The server owns keys")
        .switch();
    let fenced = long("fenced")
        .env("CHICORYRAIL_TESTKIT_FENCED")
        .help("The server checks fences; otherwise it obeys anybody")
        .switch();
    let service_us = long("service-us")
        .env("CHICORYRAIL_TESTKIT_SERVICE_US")
        .help("Service time in microseconds")
        .argument::<u64>("N")
        .fallback(0)
        .display_fallback();
    let cold_ms = millis(
        "cold-ms",
        "CHICORYRAIL_TESTKIT_COLD_MS",
        "Length of a cold start",
        0,
    );
    let report_age = millis(
        "report-age-ms",
        "CHICORYRAIL_TESTKIT_REPORT_AGE_MS",
        "Age of the load report",
        500,
    );
    let ledger = long("ledger")
        .env("CHICORYRAIL_TESTKIT_LEDGER")
        .help("File that every run is written to")
        .argument::<PathBuf>("FILE")
        .optional();
    let seed = long("seed")
        .env("CHICORYRAIL_TESTKIT_SEED")
        .help("Seed of the faults that strike a share of the answers")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback();
    construct!(TargetOptions {
        name,
        slots,
        queue,
        connections,
        keyed,
        fenced,
        service_us,
        cold_ms,
        report_age,
        ledger,
        seed
    })
}

fn millis(
    flag: &'static str,
    env: &'static str,
    help: &'static str,
    default: u64,
) -> impl Parser<Millis> {
    long(flag)
        .env(env)
        .help(help)
        .argument::<u64>("N")
        .fallback(default)
        .display_fallback()
        .map(Millis)
}

fn main() -> ExitCode {
    let listen = long("listen")
        .env("CHICORYRAIL_TESTKIT_LISTEN")
        .help("IP address and port to listen on; port 0 lets the system choose")
        .argument::<SocketAddr>("ADDR");
    let options = options();
    let (listen, options) = construct!(listen, options)
        .to_options()
        .descr("Stand-in of a target (server)")
        .run();
    stand_in("listen", listen, |listener, stop| async {
        if let Err(e) = TargetServer::serve(options, listener, stop).await {
            log::error!("ledger: {e}");
        }
    })
}
