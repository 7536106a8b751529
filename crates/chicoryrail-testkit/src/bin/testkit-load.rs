//! Generates load on entry hosts and summarises the results.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::exit_with_error;
use chicoryrail_testkit::CallRecord;
use chicoryrail_testkit::Load;
use chicoryrail_testkit::LoadHost;
use chicoryrail_testkit::LoadKind;
use chicoryrail_testkit::LoadOptions;
use chicoryrail_testkit::LoadService;
use chicoryrail_testkit::LoadSummary;

fn service_flag(
    flag: &'static str,
    env: &'static str,
    help: &'static str,
    kind: LoadKind,
    weight: f64,
) -> impl Parser<Vec<LoadService>> {
    long(flag)
        .env(env)
        .help(help)
        .argument::<String>("PATH")
        .many()
        .map(move |paths| {
            let build = |p: &String| LoadService::new("", p, kind).with_weight(weight);
            paths.iter().map(build).collect()
        })
}

fn load_options() -> impl Parser<LoadOptions> {
    let hosts = long("host")
        .env("CHICORYRAIL_TESTKIT_HOST")
        .help("Address of a host's listener for callers; may be given several times")
        .argument::<SocketAddr>("ADDR")
        .some("at least one --host is required")
        .map(|addrs| {
            let build = |addr| LoadHost {
                addr,
                readiness: None,
            };
            addrs.into_iter().map(build).collect::<Vec<_>>()
        });
    let host_name = long("name")
        .env("CHICORYRAIL_TESTKIT_NAME")
        .help("Value of the requests' Host header")
        .argument::<String>("NAME");
    let keyed = long("keyed")
        .env("CHICORYRAIL_TESTKIT_KEYED")
        .help("Sends a key with each lookup, which selects the server")
        .switch();
    let lookups = service_flag(
        "lookup",
        "CHICORYRAIL_TESTKIT_LOOKUP",
        "Path prefix of a service for lookups, with weight 8; may be given several times",
        LoadKind::Lookup,
        8.0,
    );
    let orders = service_flag(
        "order",
        "CHICORYRAIL_TESTKIT_ORDER",
        "Path prefix of a service for orders, with weight 1; may be given several times",
        LoadKind::Order,
        1.0,
    );
    let reports = service_flag(
        "report",
        "CHICORYRAIL_TESTKIT_REPORT",
        "Path prefix of a service for reports, with weight 1; may be given several times",
        LoadKind::Report,
        1.0,
    );
    let keys = number_flag(
        "keys",
        "CHICORYRAIL_TESTKIT_KEYS",
        "Number of keys of each service",
        1_000,
    );
    let body = number_flag(
        "body",
        "CHICORYRAIL_TESTKIT_BODY",
        "Size of a response body in bytes",
        200,
    );
    let skew = float_flag(
        "skew",
        "CHICORYRAIL_TESTKIT_SKEW",
        "Exponent of the Zipf distribution of keys; 0 for a uniform distribution",
        0.0,
    );
    let services = construct!(lookups, orders, reports, keys, body, skew, host_name, keyed).map(
        |(lookups, orders, reports, keys, body, skew, host_name, keyed)| {
            let all = lookups.into_iter().chain(orders).chain(reports);
            all.map(|s| LoadService {
                host: host_name.clone(),
                keyed: keyed && s.kind == LoadKind::Lookup,
                ..s.with_keys(keys as u32, skew).with_body_bytes(body)
            })
            .collect::<Vec<_>>()
        },
    );
    let services = services.guard(
        |s| !s.is_empty(),
        "at least one --lookup, --order or --report is required",
    );
    let duration = number_flag(
        "seconds",
        "CHICORYRAIL_TESTKIT_SECONDS",
        "Duration of the run in seconds",
        5,
    )
    .map(|s| Millis(s * 1000));
    let rate = long("rate")
        .env("CHICORYRAIL_TESTKIT_RATE")
        .help("Requests a second in an open loop; a closed loop runs if absent")
        .argument::<f64>("N")
        .guard(|r| *r > 0.0 && r.is_finite(), "must be above 0")
        .optional();
    let callers = number_flag(
        "callers",
        "CHICORYRAIL_TESTKIT_CALLERS",
        "Number of callers in a closed loop",
        8,
    )
    .map(|n| n as u32);
    let deadline = number_flag(
        "deadline-ms",
        "CHICORYRAIL_TESTKIT_DEADLINE_MS",
        "Deadline of a request in milliseconds",
        1_000,
    )
    .map(Millis);
    let seed = number_flag(
        "seed",
        "CHICORYRAIL_TESTKIT_SEED",
        "Seed for all random choices",
        1,
    );
    let keeps_connections = bpaf::pure(false);
    construct!(LoadOptions {
        hosts,
        services,
        duration,
        rate,
        callers,
        deadline,
        seed,
        keeps_connections
    })
}

fn number_flag(
    flag: &'static str,
    env: &'static str,
    help: &'static str,
    default: u64,
) -> impl Parser<u64> {
    long(flag)
        .env(env)
        .help(help)
        .argument::<u64>("N")
        .fallback(default)
        .display_fallback()
}

fn float_flag(
    flag: &'static str,
    env: &'static str,
    help: &'static str,
    default: f64,
) -> impl Parser<f64> {
    long(flag)
        .env(env)
        .help(help)
        .argument::<f64>("N")
        .fallback(default)
        .display_fallback()
}

fn write_records(path: &PathBuf, records: &[CallRecord]) -> std::io::Result<()> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
    for record in records {
        serde_json::to_writer(&mut file, record)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

fn main() -> ExitCode {
    let records = long("records")
        .env("CHICORYRAIL_TESTKIT_RECORDS")
        .help("File to which a line of JSON is written for each request")
        .argument::<PathBuf>("FILE")
        .optional();
    let options = load_options();
    let (options, records) = construct!(options, records)
        .to_options()
        .descr("Generates load; the last line is a summary in JSON")
        .run();
    let call_records = block_on(Load::new(options).run());
    if let Some(path) = records
        && let Err(e) = write_records(&path, &call_records)
    {
        return exit_with_error(&format!("--records: {e}"));
    }
    let summary = LoadSummary::of(&call_records);
    match serde_json::to_string(&summary) {
        Ok(text) => println!("{text}"),
        Err(e) => return exit_with_error(&e.to_string()),
    }
    ExitCode::from(u8::from(summary.wrong > 0))
}
