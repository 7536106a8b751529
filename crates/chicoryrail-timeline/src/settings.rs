//! Flags and environment variables.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::setting;
use chicoryrail_runtime::switch_setting;

use crate::Filter;

/// Settings of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Address of the platform's list of hosts.
    pub list: Option<SocketAddr>,
    /// Further processes, by the address where they show their events.
    pub processes: Vec<SocketAddr>,
    /// Files with the output of routers; read once, in place of processes.
    pub logs: Vec<PathBuf>,
    /// Whether the tool goes on reading.
    pub follow: bool,
    /// Whether it prints JSON lines.
    pub json: bool,
    /// Rest between two rounds of reading.
    pub interval: Millis,
    /// Which events are shown.
    pub filter: Filter,
}

/// Parses the settings from flags and, where a flag is missing, environment variables.
#[must_use]
pub fn settings() -> OptionParser<Settings> {
    let list = setting::<SocketAddr>(
        "host-list",
        "CHICORYRAIL_HOST_LIST",
        "ADDR",
        "IP address and port of the platform's list of hosts",
    )
    .optional();
    let processes = long("process")
        .env("CHICORYRAIL_TIMELINE_PROCESSES")
        .help(
            "Address where a process that is not on the list shows its events; may be given \
             several times, or several separated by spaces",
        )
        .argument::<String>("ADDR")
        .many()
        .parse(|texts| addresses(&texts));
    let logs = long("log")
        .env("CHICORYRAIL_TIMELINE_LOGS")
        .help("File with the output of a router; may be given several times. With --request, only its lines")
        .argument::<PathBuf>("FILE")
        .many();
    let follow = switch_setting(
        "follow",
        "CHICORYRAIL_TIMELINE_FOLLOW",
        "Goes on reading until it is interrupted",
    );
    let json = switch_setting("json", "CHICORYRAIL_JSON", "Prints JSON lines");
    let interval = setting::<u64>(
        "interval-ms",
        "CHICORYRAIL_TIMELINE_INTERVAL_MS",
        "N",
        "Rest between two rounds of --follow in milliseconds, 50 at least",
    )
    .guard(|n| *n >= 50, "--interval-ms must be at least 50")
    .fallback(500)
    .display_fallback()
    .map(Millis);
    let filter = filter();
    construct!(Settings {
        list,
        processes,
        logs,
        follow,
        json,
        interval,
        filter
    })
    .guard(
        |s| s.list.is_some() || !s.processes.is_empty() || !s.logs.is_empty(),
        "--host-list ADDR, --process ADDR or --log FILE must be given",
    )
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("One ordered time line of the events of all chicoryrail processes")
    .footer("Exit codes: 0 done, 2 bad usage or no process answered")
}

fn filter() -> impl Parser<Filter> {
    let text = |flag, env, kind, help| setting::<String>(flag, env, kind, help).optional();
    let key = text(
        "key",
        "CHICORYRAIL_TIMELINE_KEY",
        "KEY",
        "Only events of this key and of slices that hold it",
    );
    let request = text(
        "request",
        "CHICORYRAIL_TIMELINE_REQUEST",
        "ID",
        "Only events of this request or order id",
    );
    let server = text(
        "server",
        "CHICORYRAIL_TIMELINE_SERVER",
        "NAME",
        "Only events of this server",
    );
    let dc = text(
        "data-centre",
        "CHICORYRAIL_TIMELINE_DATA_CENTRE",
        "NAME",
        "Only events of this data centre",
    );
    let epoch = setting::<u64>(
        "epoch",
        "CHICORYRAIL_TIMELINE_EPOCH",
        "N",
        "Only events of this epoch",
    )
    .optional();
    let kind = setting::<String>(
        "kind",
        "CHICORYRAIL_TIMELINE_KIND",
        "KIND",
        "Only events of this kind, for example move-started",
    )
    .parse(|text| kind(&text))
    .optional();
    let host = setting::<HostName>(
        "host",
        "CHICORYRAIL_TIMELINE_HOST",
        "NAME",
        "Only events of this host",
    )
    .optional();
    let since = setting::<String>(
        "since",
        "CHICORYRAIL_TIMELINE_SINCE",
        "TIME",
        "Only events since then: 500ms, 30s, 5m or 1h ago, or milliseconds since 1970",
    )
    .parse(|text| since(&text, now()))
    .optional();
    construct!(Filter {
        key,
        request,
        server,
        dc,
        epoch,
        kind,
        host,
        since
    })
}

fn kind(text: &str) -> Result<EventKind, String> {
    let quoted = serde_json::Value::from(text);
    serde_json::from_value(quoted).map_err(|e| format!("--kind = {text}: {e}"))
}

fn since(text: &str, now: u64) -> Result<u64, String> {
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let factor = match unit {
        "" => 0,
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return Err(format!("--since = {text}: the unit is none of ms, s, m, h")),
    };
    let number: u64 = number
        .parse()
        .map_err(|e| format!("--since = {text}: {e}"))?;
    if factor == 0 {
        return Ok(number);
    }
    Ok(now.saturating_sub(number.saturating_mul(factor)))
}

fn addresses(texts: &[String]) -> Result<Vec<SocketAddr>, String> {
    let words = texts.iter().flat_map(|text| text.split_whitespace());
    words
        .map(|word| word.parse().map_err(|e| format!("--process = {word}: {e}")))
        .collect()
}

/// Reads the wall clock in milliseconds since 1970.
pub(crate) fn now() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |d| Millis::from(d).0)
}
