//! What a target saw: the material of the checker.

use std::collections::VecDeque;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

/// Runs kept in memory; the file holds them all.
const RUNS_KEPT: usize = 200_000;

/// Overruns kept.
const OVERRUNS_KEPT: usize = 1_000;

/// A request that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Name of the server.
    pub server: String,
    /// Service of the server.
    pub service: String,
    /// Key, for a keyed service.
    pub key: Option<u16>,
    /// Id of the request.
    pub request: String,
    /// Whether the request must run at most once.
    pub order: bool,
    /// Organisation that the host named.
    #[serde(default)]
    pub organisation: Option<String>,
    /// Whether the API key came along, which no server may see.
    #[serde(default)]
    pub key_leaked: bool,
    /// Fence under which the server held the key.
    pub fence: Option<u64>,
    /// Wall-clock start of the run in microseconds.
    pub start: u64,
    /// Wall-clock end of the run in microseconds: the moment when it took effect.
    pub end: u64,
}

/// A cold server was given more than it can bear.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overrun {
    /// Name of the server.
    pub server: String,
    /// Wall-clock time in microseconds.
    pub time: u64,
    /// Time since the cold phase began in milliseconds.
    pub cold_ms: u64,
    /// Requests that arrived in the second before.
    pub arrived: u32,
    /// Requests that it bears in a second.
    pub bears: u32,
}

/// A server that names how many requests a second it takes was given more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitOverrun {
    /// Name of the server.
    pub server: String,
    /// Wall-clock time in microseconds.
    pub time: u64,
    /// Time since it first named its limit in milliseconds.
    pub limited_ms: u64,
    /// Requests that arrived in the window before.
    pub arrived: u32,
    /// Requests that may arrive in a window.
    pub allowed: u32,
}

/// The whole record, as `GET /testkit/ledger` shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Requests that took effect, oldest first; bounded.
    pub runs: VecDeque<Run>,
    /// Overruns while cold; bounded.
    pub overruns: Vec<Overrun>,
    /// Overruns while limited; bounded.
    #[serde(default)]
    pub limit_overruns: Vec<LimitOverrun>,
    /// Requests that took effect, in all.
    pub done: u64,
    /// Requests refused because the server does not hold the key.
    pub not_held: u64,
    /// Requests shed because the queue was full.
    pub shed: u64,
    /// Requests not run because their deadline had passed.
    pub late: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Grants obeyed.
    pub grants: u64,
    /// Releases obeyed.
    pub releases: u64,
    /// Highest number of requests in flight, queued ones too.
    pub max_busy: u32,
    /// Connections closed because of the limit.
    pub connections_refused: u64,
}

/// A line of the ledger's file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Line {
    Run(Run),
    Overrun(Overrun),
    LimitOverrun(LimitOverrun),
}

impl Ledger {
    /// Reads back the runs and overruns of a ledger's file.
    ///
    /// A line that a kill cut short stands last and is left out.
    ///
    /// # Errors
    ///
    /// Returns the system's error, and `InvalidData` for a wrong line that is not the last.
    pub fn read(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        let mut ledger = Self::default();
        for line in text.split_inclusive('\n').filter(|l| l.ends_with('\n')) {
            match serde_json::from_str(line).map_err(io::Error::from)? {
                Line::Run(run) => ledger.runs.push_back(run),
                Line::Overrun(overrun) => ledger.overruns.push(overrun),
                Line::LimitOverrun(overrun) => ledger.limit_overruns.push(overrun),
            }
        }
        ledger.done = ledger.runs.len() as u64;
        Ok(ledger)
    }
}

/// Writes the ledger, to a file too where one is given.
///
/// A file line is written at once, so that what ran before a kill is on record.
#[derive(Debug, Default)]
pub(crate) struct Recorder {
    pub(crate) ledger: Ledger,
    file: Option<File>,
}

impl Recorder {
    /// Opens the recorder; a file that exists is continued.
    pub(crate) fn open(path: Option<&Path>) -> io::Result<Self> {
        let file = path
            .map(|p| OpenOptions::new().create(true).append(true).open(p))
            .transpose()?;
        Ok(Self {
            ledger: Ledger::default(),
            file,
        })
    }

    pub(crate) fn run(&mut self, run: Run) {
        self.ledger.done += 1;
        self.write(&Line::Run(run.clone()));
        if self.ledger.runs.len() == RUNS_KEPT {
            self.ledger.runs.pop_front();
        }
        self.ledger.runs.push_back(run);
    }

    pub(crate) fn overrun(&mut self, overrun: Overrun) {
        self.write(&Line::Overrun(overrun.clone()));
        if self.ledger.overruns.len() < OVERRUNS_KEPT {
            self.ledger.overruns.push(overrun);
        }
    }

    pub(crate) fn limit_overrun(&mut self, overrun: LimitOverrun) {
        self.write(&Line::LimitOverrun(overrun.clone()));
        if self.ledger.limit_overruns.len() < OVERRUNS_KEPT {
            self.ledger.limit_overruns.push(overrun);
        }
    }

    fn write(&mut self, line: &Line) {
        if let Some(file) = &mut self.file {
            let mut text = serde_json::to_vec(line).unwrap_or_default();
            text.push(b'\n');
            let _ = file.write_all(&text);
        }
    }
}
