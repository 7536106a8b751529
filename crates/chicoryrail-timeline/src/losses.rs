//! Where requests were lost, and for what reason.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::LogLine;

/// Start of the kinds of lines that end a request.
const ENDS: &str = "request_";

/// Outcomes of a request that its caller got as wished, of which only a sample is logged.
const GOOD: &str = "in_time";

/// Moments that are told, the worst first.
const MOMENTS: usize = 8;

/// Kinds of lines that tell a change which may have cost requests.
const CHANGES: [&str; 15] = [
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

/// Where requests were lost over a span of time, summed up from the lines that end them.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Losses {
    /// Wall time in seconds since 1970 of the first line that was counted.
    pub from: f64,
    /// The same of the last one.
    pub to: f64,
    /// Requests that were lost.
    pub lost: u64,
    /// Lines that the hosts left out for want of room; what they told is missing here.
    pub left_out: u64,
    /// Reasons, the most frequent first.
    pub reasons: Vec<Reason>,
    /// The seconds with most losses, the worst first.
    pub moments: Vec<Moment>,
}

/// Requests of one route that ended in the same way for the same reason.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Reason {
    /// Route.
    pub route: String,
    /// `late`, `failed`, `refused` or `given_up` (the caller left).
    pub outcome: String,
    /// Why it was refused; `-` where it was not.
    pub cause: String,
    /// Number of requests.
    pub count: u64,
    /// Median of the time from arrival to end, in milliseconds.
    pub took_ms: u64,
    /// Median of the time spent waiting for a server, in milliseconds.
    pub waited_ms: u64,
    /// The server that had most of them last, and how many.
    pub server: String,
    /// Requests that this server had.
    pub at_server: u64,
}

/// One second, and what changed in it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Moment {
    /// Wall time of its start, in seconds since 1970.
    pub at: u64,
    /// Requests lost in it.
    pub lost: u64,
    /// Changes told in it, by the kind of their lines.
    pub changes: BTreeMap<String, u64>,
}

/// What is collected of one reason.
#[derive(Default)]
struct Group {
    took: Vec<u64>,
    waited: Vec<u64>,
    servers: BTreeMap<String, u64>,
}

impl Losses {
    /// Sums up lines in order of time; with `last`, only those of that many seconds before the last one.
    #[must_use]
    pub fn of(lines: &[LogLine], last: Option<f64>) -> Self {
        let to = lines.last().map_or(0.0, |l| l.time);
        let first = last.map_or(f64::NEG_INFINITY, |seconds| to - seconds);
        let start = lines.partition_point(|l| l.time < first);
        let mut this = Self {
            from: lines.get(start).map_or(to, |l| l.time),
            to,
            ..Self::default()
        };
        let mut groups: BTreeMap<(String, String, String), Group> = BTreeMap::new();
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
                this.left_out += number(line, "lines");
            }
            if CHANGES.contains(&kind) {
                *moment.changes.entry(kind.to_owned()).or_default() += 1;
            }
            let Some(outcome) = kind.strip_prefix(ENDS).filter(|o| *o != GOOD) else {
                continue;
            };
            this.lost += 1;
            moment.lost += 1;
            let text = |key: &str| line.value(key).unwrap_or("-").to_owned();
            let key = (text("route"), outcome.to_owned(), text("cause"));
            groups.entry(key).or_default().add(line);
        }
        this.reasons = groups.into_iter().map(Reason::of).collect();
        this.reasons.sort_by_key(|r| std::cmp::Reverse(r.count));
        this.moments = moments.into_values().filter(|m| m.lost > 0).collect();
        this.moments.sort_by_key(|m| std::cmp::Reverse(m.lost));
        this.moments.truncate(MOMENTS);
        this
    }
}

impl Group {
    fn add(&mut self, line: &LogLine) {
        self.took.push(number(line, "took_ms"));
        self.waited.push(number(line, "waited_ms"));
        let server = line.value("server").unwrap_or("-").to_owned();
        *self.servers.entry(server).or_default() += 1;
    }
}

impl Reason {
    fn of(((route, outcome, cause), group): ((String, String, String), Group)) -> Self {
        let most = group.servers.into_iter().max_by_key(|(_, count)| *count);
        let (server, at_server) = most.unwrap_or_default();
        Self {
            route,
            outcome,
            cause,
            count: group.took.len() as u64,
            took_ms: median(group.took),
            waited_ms: median(group.waited),
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
            "{} requests lost in {:.0} s; {} log lines left out",
            self.lost,
            self.to - self.from,
            self.left_out
        )?;
        writeln!(
            f,
            "{:>8}  {:<10} {:<12} {:<20} {:>8} {:>9}  most at server",
            "requests", "outcome", "cause", "route", "took ms", "waited ms"
        )?;
        for r in &self.reasons {
            writeln!(
                f,
                "{:>8}  {:<10} {:<12} {:<20} {:>8} {:>9}  {} ({})",
                r.count, r.outcome, r.cause, r.route, r.took_ms, r.waited_ms, r.server, r.at_server
            )?;
        }
        writeln!(f, "worst seconds:")?;
        for m in &self.moments {
            let changes: Vec<String> = m.changes.iter().map(|(k, n)| format!("{k} {n}")).collect();
            writeln!(f, "{:>8}  at {}  {}", m.lost, m.at, changes.join(", "))?;
        }
        Ok(())
    }
}
