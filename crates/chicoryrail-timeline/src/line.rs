//! Lines of the output.

use std::fmt;
use std::net::SocketAddr;

use chicoryrail_runtime::Event;
use serde::Deserialize;
use serde::Serialize;

/// A line of the time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Line {
    /// An event of a process.
    Event(Event),
    /// An event that came after later ones had been printed.
    Late(Event),
    /// Events of a process are missing.
    Gap(Gap),
    /// A process does not answer.
    Silent(Silence),
    /// A process answers again.
    Back(Silence),
}

/// Events that a process had recorded and its ring does not hold any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// Where the process shows its events.
    pub process: SocketAddr,
    /// Host of the process.
    pub host: String,
    /// Name of the program.
    pub program: String,
    /// Number of the first missing event.
    pub first: u64,
    /// Number of missing events.
    pub lost: u64,
    /// Whether the process was restarted, so that it is not known how many events its former run
    /// recorded after the last one read.
    pub restarted: bool,
}

/// A process that stopped or started to answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence {
    /// Where the process shows its events.
    pub process: SocketAddr,
}

impl Line {
    /// Renders the line as JSON.
    #[must_use]
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Event(e) => event(f, e, ""),
            Self::Late(e) => event(f, e, " (late)"),
            Self::Gap(gap) if gap.restarted => write!(
                f,
                "-- gap: {} {} ({}) was restarted; what its former run recorded last is lost",
                gap.host, gap.program, gap.process
            ),
            Self::Gap(gap) => write!(
                f,
                "-- gap: {} events of {} {} ({}) from number {} on are lost",
                gap.lost, gap.host, gap.program, gap.process, gap.first
            ),
            Self::Silent(s) => write!(f, "-- no answer from {}", s.process),
            Self::Back(s) => write!(f, "-- {} answers again", s.process),
        }
    }
}

fn event(f: &mut fmt::Formatter<'_>, e: &Event, mark: &str) -> fmt::Result {
    let program = e.program.strip_prefix("chicoryrail-").unwrap_or(&e.program);
    let kind = kind(e);
    write!(f, "{}+{:<3}", date(e.stamp.wall), e.stamp.count)?;
    write!(
        f,
        " {:<12} {program:<10} {kind:<15} {}",
        e.host.as_str(),
        e.subject
    )?;
    if !e.detail.is_empty() {
        write!(f, " {}", e.detail)?;
    }
    f.write_str(mark)
}

fn kind(e: &Event) -> String {
    let text = serde_json::to_string(&e.kind).unwrap_or_default();
    text.trim_matches('"').to_owned()
}

/// Writes milliseconds since 1970 as date and time of UTC.
#[must_use]
pub fn date(wall: u64) -> String {
    let (days, ms) = (wall / 86_400_000, wall % 86_400_000);
    // Days are counted from 1 March of year 0, so that the leap day ends a year; 146097 days make
    // 400 years, 719468 lie before 1970.
    let z = days + 719_468;
    let (era, day) = (z / 146_097, z % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = year + era * 400 + u64::from(month <= 2);
    let (h, m, s) = (ms / 3_600_000, ms / 60_000 % 60, ms / 1_000 % 60);
    format!(
        "{year:04}-{month:02}-{day:02}T{h:02}:{m:02}:{s:02}.{:03}Z",
        ms % 1_000
    )
}
