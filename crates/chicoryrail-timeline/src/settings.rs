//! Flags and environment variables.

use std::path::PathBuf;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::pure;
use chicoryrail_runtime::setting_parser;

use crate::Filter;

/// What to do with the selected lines.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// Prints the lines.
    Show,
    /// Summarises where requests were lost and why.
    Losses {
        /// Seconds before the last line that are counted; all if `None`.
        last: Option<f64>,
        /// Whether to print JSON instead of a table.
        json: bool,
    },
}

/// Settings of a run of `chicoryrail-timeline`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Files that contain the standard output of routers.
    pub logs: Vec<PathBuf>,
    /// Selects the lines.
    pub filter: Filter,
    /// What to do with the selected lines.
    pub task: Task,
}

/// Returns the parser of the flags and, where a flag is missing, environment variables.
#[must_use]
pub fn settings() -> OptionParser<Settings> {
    let losses = losses()
        .to_options()
        .descr("Summarises where requests were lost and why")
        .command("losses");
    construct!([losses, show()])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Merges the logs of all routers into one timeline")
        .footer("Exit codes: 0 done, 2 bad usage, bad setting or unreadable file")
}

fn show() -> impl Parser<Settings> {
    let (logs, filter, task) = (logs(), filter(), pure(Task::Show));
    construct!(Settings { logs, filter, task })
}

fn losses() -> impl Parser<Settings> {
    let last = setting_parser::<f64>(
        "last",
        "CHICORYRAIL_TIMELINE_LAST",
        "SECONDS",
        "Counts only this many seconds before the last line",
    )
    .guard(|s| s.is_finite() && *s > 0.0, "--last must be above 0")
    .optional();
    let json = long("json")
        .help("Prints one line of JSON instead of a table")
        .switch();
    let task = construct!(Task::Losses { last, json });
    let (logs, filter) = (logs(), filter());
    construct!(Settings { logs, filter, task })
}

fn logs() -> impl Parser<Vec<PathBuf>> {
    long("log")
        .env("CHICORYRAIL_TIMELINE_LOGS")
        .help("File with the standard output of a router; may be given several times")
        .argument::<PathBuf>("FILE")
        .some("--log FILE must be given")
}

fn filter() -> impl Parser<Filter> {
    let request = condition("request", "CHICORYRAIL_TIMELINE_REQUEST", "ID");
    let service = condition("service", "CHICORYRAIL_TIMELINE_SERVICE", "NAME");
    let host = condition("host", "CHICORYRAIL_TIMELINE_HOST", "NAME");
    let key = condition("key", "CHICORYRAIL_TIMELINE_KEY", "KEY");
    let kind = setting_parser::<String>(
        "kind",
        "CHICORYRAIL_TIMELINE_KIND",
        "KIND",
        "Only lines with this event (value of log=), for example send_broken",
    )
    .optional()
    .map(|kind| kind.map(|k| ("log", k)));
    let server = setting_parser::<String>(
        "server",
        "CHICORYRAIL_TIMELINE_SERVER",
        "NAME",
        "Only lines about this server: NAME for all its starts, NAME@BORN for one start",
    )
    .optional();
    let values = construct!(request, service, host, key, kind).map(|(a, b, c, d, e)| {
        let given = [a, b, c, d, e].into_iter().flatten();
        given.collect::<Vec<_>>()
    });
    construct!(Filter { values, server })
}

/// Parses a condition on the log key that is named like the flag.
fn condition(
    flag: &'static str,
    env: &'static str,
    kind: &'static str,
) -> impl Parser<Option<(&'static str, String)>> {
    setting_parser::<String>(
        flag,
        env,
        kind,
        "Only lines with this value under the log key of the same name",
    )
    .optional()
    .map(move |value| value.map(|v| (flag, v)))
}
