//! Summary of lost requests: where, when and why.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::LogLine;

/// Prefix of the log events that end a request; the outcome follows.
const END_PREFIX: &str = "request_";

/// Outcome of a request that succeeded in time; only a sample of these is logged.
const IN_TIME: &str = "in_time";

/// Maximum number of seconds that the summary lists, those with most losses first.
const MAX_MOMENTS: usize = 8;

/// Log events of changes that may have caused losses.
const CHANGE_EVENTS: [&str; 15] = [
    "config_in_force",
    "dc_back",
    "dc_out",
    "scheduler_silent",
    "hold_waited_out",
    "keys_planned",
    "leader_lost",
    "leader_makes_way",
    "leader_won",
    "left_out",
    "paused",
    "server_entry_gone",
    "start",
    "stopping",
    "store_lost",
];

/// Summary of the requests that were lost in a period, from the log lines that end requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Losses {
    /// Wall-clock time of the first counted line, in seconds since the Unix epoch.
    pub from: f64,
    /// Wall-clock time of the last counted line, in seconds since the Unix epoch.
    pub to: f64,
    /// Number of lost requests: those that ended late, failed, refused or given up.
    pub lost: u64,
    /// Log lines that the hosts dropped above the log rate or when the log buffer was full; the summary lacks them.
    pub left_out: u64,
    /// Reasons of losses, the most frequent first.
    pub reasons: Vec<Reason>,
    /// The seconds with most losses, most losses first.
    pub moments: Vec<Moment>,
}

/// Requests of one route that ended in the same way for the same reason.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Reason {
    /// Name of the route.
    pub route: String,
    /// `late`, `failed`, `refused` or `given_up` (cancelled by the caller).
    pub outcome: String,
    /// Cause of a refusal; `-` for other outcomes.
    pub cause: String,
    /// Number of requests.
    pub count: u64,
    /// Median of the time from arrival to end, in milliseconds.
    pub took_ms: u64,
    /// Median of the time spent waiting for a slot at a server, in milliseconds.
    pub waited_ms: u64,
    /// The server to which most of these requests were sent last; `-` for none.
    pub server: String,
    /// Number of these requests that were sent to this server last.
    pub at_server: u64,
}

/// Losses and changes in one second.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Moment {
    /// Wall-clock time of the start of the second, in seconds since the Unix epoch.
    pub at: u64,
    /// Number of requests lost in this second.
    pub lost: u64,
    /// Number of changes in this second, by log event.
    pub changes: BTreeMap<String, u64>,
}

/// Samples of the requests lost for one reason.
#[derive(Default)]
struct Samples {
    took: Vec<u64>,
    waited: Vec<u64>,
    servers: BTreeMap<String, u64>,
}

impl Losses {
    /// Summarises lines that are sorted by time; with `last`, only those in that many seconds before the last line.
    #[must_use]
    pub fn of(lines: &[LogLine], last: Option<f64>) -> Self {
        let to = lines.last().map_or(0.0, |l| l.time);
        let first = last.map_or(f64::NEG_INFINITY, |seconds| to - seconds);
        let start = lines.partition_point(|l| l.time < first);
        let mut losses = Self {
            from: lines.get(start).map_or(to, |l| l.time),
            to,
            ..Self::default()
        };
        let mut groups: BTreeMap<(String, String, String), Samples> = BTreeMap::new();
        let mut moments: BTreeMap<u64, Moment> = BTreeMap::new();
        for line in &lines[start..] {
            let kind = line.value("log").unwrap_or_default();
            let at = line.time as u64;
            let moment = moments.entry(at).or_insert_with(|| Moment {
                at,
                lost: 0,
                changes: BTreeMap::new(),
            });
            if kind == "left_out" {
                losses.left_out += number(line, "lines");
            }
            if CHANGE_EVENTS.contains(&kind) {
                *moment.changes.entry(kind.to_owned()).or_default() += 1;
            }
            let Some(outcome) = kind.strip_prefix(END_PREFIX).filter(|o| *o != IN_TIME) else {
                continue;
            };
            losses.lost += 1;
            moment.lost += 1;
            let text = |key: &str| line.value(key).unwrap_or("-").to_owned();
            let key = (text("route"), outcome.to_owned(), text("cause"));
            groups.entry(key).or_default().add(line);
        }
        losses.reasons = groups.into_iter().map(Reason::of).collect();
        losses.reasons.sort_by_key(|r| std::cmp::Reverse(r.count));
        losses.moments = moments.into_values().filter(|m| m.lost > 0).collect();
        losses.moments.sort_by_key(|m| std::cmp::Reverse(m.lost));
        losses.moments.truncate(MAX_MOMENTS);
        losses
    }
}

impl Samples {
    fn add(&mut self, line: &LogLine) {
        self.took.push(number(line, "took_ms"));
        self.waited.push(number(line, "waited_ms"));
        let server = line.value("server").unwrap_or("-").to_owned();
        *self.servers.entry(server).or_default() += 1;
    }
}

impl Reason {
    fn of(((route, outcome, cause), samples): ((String, String, String), Samples)) -> Self {
        let most = samples.servers.into_iter().max_by_key(|(_, count)| *count);
        let (server, at_server) = most.unwrap_or_default();
        Self {
            route,
            outcome,
            cause,
            count: samples.took.len() as u64,
            took_ms: median(samples.took),
            waited_ms: median(samples.waited),
            server,
            at_server,
        }
    }
}

fn number(line: &LogLine, key: &str) -> u64 {
    line.value(key).and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn median(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0)
}

impl fmt::Display for Losses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} requests lost in {:.0} s; {} log lines dropped",
            self.lost,
            self.to - self.from,
            self.left_out
        )?;
        writeln!(
            f,
            "{:>8}  {:<10} {:<12} {:<20} {:>8} {:>9}  most frequent server",
            "requests", "outcome", "cause", "route", "took ms", "waited ms"
        )?;
        for r in &self.reasons {
            writeln!(
                f,
                "{:>8}  {:<10} {:<12} {:<20} {:>8} {:>9}  {} ({})",
                r.count, r.outcome, r.cause, r.route, r.took_ms, r.waited_ms, r.server, r.at_server
            )?;
        }
        writeln!(f, "seconds with most losses:")?;
        for m in &self.moments {
            let changes: Vec<String> = m.changes.iter().map(|(k, n)| format!("{k} {n}")).collect();
            writeln!(f, "{:>8}  at {}  {}", m.lost, m.at, changes.join(", "))?;
        }
        Ok(())
    }
}
