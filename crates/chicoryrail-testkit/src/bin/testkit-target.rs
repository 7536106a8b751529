//! Runs the stand-in for a target (server).

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_core::DcName;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::ServiceName;
use chicoryrail_testkit::TargetOptions;
use chicoryrail_testkit::TargetServer;
use chicoryrail_testkit::run_stand_in;

fn target_options() -> impl Parser<TargetOptions> {
    let name = long("name")
        .env("CHICORYRAIL_TESTKIT_NAME")
        .help("Name of the server")
        .argument::<ServerName>("NAME")
        .guard(
            ServerName::is_valid,
            "must be 1 to 64 characters of a-z 0-9 - _ .",
        );
    let service = long("service")
        .env("CHICORYRAIL_TESTKIT_SERVICE")
        .help("Name of the service that the server belongs to")
        .argument::<ServiceName>("NAME")
        .fallback("service".into());
    let dc = long("data-centre")
        .env("CHICORYRAIL_TESTKIT_DATA_CENTRE")
        .help("Name of the data centre that the server runs in")
        .argument::<DcName>("NAME")
        .fallback("west".into());
    let slots = long("slots")
        .env("CHICORYRAIL_TESTKIT_SLOTS")
        .help("Maximum number of requests that run concurrently")
        .argument::<u32>("N")
        .fallback(2)
        .display_fallback();
    let queue = long("queue")
        .env("CHICORYRAIL_TESTKIT_QUEUE")
        .help("Maximum number of requests that wait for a slot; further requests are refused")
        .argument::<u32>("N")
        .fallback(8)
        .display_fallback();
    let connections = long("connections")
        .env("CHICORYRAIL_TESTKIT_CONNECTIONS")
        .help("Maximum number of open connections")
        .argument::<u32>("N")
        .fallback(120)
        .display_fallback();
    let keyed = long("keyed")
        .env("CHICORYRAIL_TESTKIT_KEYED")
        .help("Serves keyed requests: each must name a key that the server owns")
        .switch();
    let service_us = long("service-us")
        .env("CHICORYRAIL_TESTKIT_SERVICE_US")
        .help("Service time of a request in microseconds")
        .argument::<u64>("N")
        .fallback(0)
        .display_fallback();
    let warmup = millis_flag(
        "cold-ms",
        "CHICORYRAIL_TESTKIT_COLD_MS",
        "Length of the warm-up after a start, in milliseconds",
        0,
    );
    let warmup_limit = long("cold-bears")
        .env("CHICORYRAIL_TESTKIT_COLD_BEARS")
        .help("Requests allowed in any second of the warm-up; more are recorded as an overrun")
        .argument::<u32>("N")
        .fallback(u32::MAX);
    let store = long("store")
        .env("CHICORYRAIL_TESTKIT_STORE")
        .help("Address of the store in which the server registers; not registered if absent")
        .argument::<SocketAddr>("ADDR")
        .optional();
    let advertised_addr = long("shown")
        .env("CHICORYRAIL_TESTKIT_SHOWN")
        .help("Address to register in the store; the listening address if absent")
        .argument::<SocketAddr>("ADDR")
        .optional();
    let ledger = long("ledger")
        .env("CHICORYRAIL_TESTKIT_LEDGER")
        .help("File to which executed requests, grants and releases are written")
        .argument::<PathBuf>("FILE")
        .optional();
    let seed = long("seed")
        .env("CHICORYRAIL_TESTKIT_SEED")
        .help("Seed for faults that affect a fraction of the responses")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback();
    construct!(TargetOptions {
        name,
        service,
        dc,
        slots,
        queue,
        connections,
        keyed,
        service_us,
        warmup,
        warmup_limit,
        store,
        advertised_addr,
        ledger,
        seed
    })
}

fn millis_flag(
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
        .help("IP address and port to listen on; with port 0 the system selects a free port")
        .argument::<SocketAddr>("ADDR");
    let options = target_options();
    let (listen, options) = construct!(listen, options)
        .to_options()
        .descr("Runs a stand-in for a target (server)")
        .run();
    run_stand_in("listen", listen, |listener, stop| async {
        if let Err(e) = TargetServer::serve(options, listener, stop).await {
            log::error!("ledger: {e}");
        }
    })
}
