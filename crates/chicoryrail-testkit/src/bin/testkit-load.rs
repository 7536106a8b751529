//! The load generator.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::exit_with;
use chicoryrail_testkit::CallRecord;
use chicoryrail_testkit::Load;
use chicoryrail_testkit::LoadHost;
use chicoryrail_testkit::LoadKind;
use chicoryrail_testkit::LoadOptions;
use chicoryrail_testkit::LoadService;
use chicoryrail_testkit::LoadSummary;

fn service(
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

fn options() -> impl Parser<LoadOptions> {
    let hosts = long("host")
        .env("CHICORYRAIL_TESTKIT_HOST")
        .help("Address of a host's listener for callers; may stand several times")
        .argument::<SocketAddr>("ADDR")
        .some("name at least one --host")
        .map(|addrs| {
            let build = |callers| LoadHost {
                callers,
                readiness: None,
            };
            addrs.into_iter().map(build).collect::<Vec<_>>()
        });
    let name = long("name")
        .env("CHICORYRAIL_TESTKIT_NAME")
        .help("Host that callers name")
        .argument::<String>("NAME");
    let keyed = long("keyed")
        .env("CHICORYRAIL_TESTKIT_KEYED")
        .help("Lookups carry a key that picks the server")
        .switch();
    let lookups = service(
        "lookup",
        "CHICORYRAIL_TESTKIT_LOOKUP",
        "Path prefix of a service that is looked up, 8 of 10 requests",
        LoadKind::Lookup,
        8.0,
    );
    let orders = service(
        "order",
        "CHICORYRAIL_TESTKIT_ORDER",
        "Path prefix of a service that takes orders",
        LoadKind::Order,
        1.0,
    );
    let reports = service(
        "report",
        "CHICORYRAIL_TESTKIT_REPORT",
        "Path prefix of a service of reports",
        LoadKind::Report,
        1.0,
    );
    let keys = number(
        "keys",
        "CHICORYRAIL_TESTKIT_KEYS",
        "Keys of a service",
        1_000,
    );
    let body = number(
        "body",
        "CHICORYRAIL_TESTKIT_BODY",
        "Bytes of an answer",
        200,
    );
    let skew = float(
        "skew",
        "CHICORYRAIL_TESTKIT_SKEW",
        "Zipf exponent of keys",
        0.0,
    );
    let services = construct!(lookups, orders, reports, keys, body, skew, name, keyed).map(
        |(lookups, orders, reports, keys, body, skew, name, keyed)| {
            let all = lookups.into_iter().chain(orders).chain(reports);
            all.map(|s| LoadService {
                host: name.clone(),
                keyed: keyed && s.kind == LoadKind::Lookup,
                ..s.with_keys(keys as u32, skew).with_body(body)
            })
            .collect::<Vec<_>>()
        },
    );
    let services = services.guard(|s| !s.is_empty(), "name a --lookup, --order or --report");
    let length = number(
        "seconds",
        "CHICORYRAIL_TESTKIT_SECONDS",
        "Length of the run",
        5,
    )
    .map(|s| Millis(s * 1000));
    let rate = long("rate")
        .env("CHICORYRAIL_TESTKIT_RATE")
        .help("Requests a second in an open loop; without it the loop is closed")
        .argument::<f64>("N")
        .guard(|r| *r > 0.0 && r.is_finite(), "must be above 0")
        .optional();
    let callers = number(
        "callers",
        "CHICORYRAIL_TESTKIT_CALLERS",
        "Callers in a closed loop",
        8,
    )
    .map(|n| n as u32);
    let deadline = number(
        "deadline-ms",
        "CHICORYRAIL_TESTKIT_DEADLINE_MS",
        "Deadline of a request",
        1_000,
    )
    .map(Millis);
    let seed = number("seed", "CHICORYRAIL_TESTKIT_SEED", "Seed of all draws", 1);
    construct!(LoadOptions {
        hosts,
        services,
        length,
        rate,
        callers,
        deadline,
        seed
    })
}

fn number(
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

fn float(
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

fn save(path: &PathBuf, records: &[CallRecord]) -> std::io::Result<()> {
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
        .help("File for a line of JSON for each request")
        .argument::<PathBuf>("FILE")
        .optional();
    let options = options();
    let (options, records) = construct!(options, records)
        .to_options()
        .descr("Load generator; the last line is a summary in JSON")
        .run();
    let done = block_on(Load::new(options).run());
    if let Some(path) = records
        && let Err(e) = save(&path, &done)
    {
        return exit_with(&format!("--records: {e}"));
    }
    let summary = LoadSummary::of(&done);
    match serde_json::to_string(&summary) {
        Ok(text) => println!("{text}"),
        Err(e) => return exit_with(&e.to_string()),
    }
    ExitCode::from(u8::from(summary.wrong > 0))
}
