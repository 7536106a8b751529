//! Writes the ledger of a target.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;

use crate::Arrival;
use crate::CancelledRun;
use crate::HoldChange;
use crate::Ledger;
use crate::LimitOverrun;
use crate::Notice;
use crate::Overrun;
use crate::Run;
use crate::ServerStart;
use crate::target::ledger::Line;

/// Largest numbers of runs, cancelled runs, notices, arrivals and changes of holds kept in memory; the file holds all of them.
const RUNS_MAX: usize = 200_000;

/// Largest number of overruns of each kind kept in memory; the file holds all of them.
const OVERRUNS_MAX: usize = 1_000;

/// Records the ledger in memory and, if a path is given, in a file.
///
/// Each line is written to the file at once, so that a run before a kill is not lost.
#[derive(Debug, Default)]
pub(crate) struct Recorder {
    pub(crate) ledger: Ledger,
    file: Option<File>,
}

impl Recorder {
    /// Opens the recorder; appends to a file that exists.
    pub(crate) fn open(path: Option<&Path>) -> io::Result<Self> {
        let file = path
            .map(|p| OpenOptions::new().create(true).append(true).open(p))
            .transpose()?;
        Ok(Self {
            ledger: Ledger::default(),
            file,
        })
    }

    pub(crate) fn record_run(&mut self, run: Run) {
        self.ledger.done += 1;
        self.write(&Line::Run(run.clone()));
        if self.ledger.runs.len() == RUNS_MAX {
            self.ledger.runs.pop_front();
        }
        self.ledger.runs.push_back(run);
    }

    pub(crate) fn record_cancelled_run(&mut self, run: CancelledRun) {
        self.write(&Line::CancelledRun(run.clone()));
        if self.ledger.cancelled_runs.len() < RUNS_MAX {
            self.ledger.cancelled_runs.push(run);
        }
    }

    pub(crate) fn record_overrun(&mut self, overrun: Overrun) {
        self.write(&Line::Overrun(overrun.clone()));
        if self.ledger.overruns.len() < OVERRUNS_MAX {
            self.ledger.overruns.push(overrun);
        }
    }

    pub(crate) fn record_limit_overrun(&mut self, overrun: LimitOverrun) {
        self.write(&Line::LimitOverrun(overrun.clone()));
        if self.ledger.limit_overruns.len() < OVERRUNS_MAX {
            self.ledger.limit_overruns.push(overrun);
        }
    }

    pub(crate) fn record_notice(&mut self, notice: Notice) {
        self.write(&Line::Notice(notice.clone()));
        if self.ledger.notices.len() < RUNS_MAX {
            self.ledger.notices.push(notice);
        }
    }

    pub(crate) fn record_arrival(&mut self, arrival: Arrival) {
        self.write(&Line::Arrival(arrival.clone()));
        if self.ledger.arrivals.len() < RUNS_MAX {
            self.ledger.arrivals.push(arrival);
        }
    }

    pub(crate) fn record_hold(&mut self, change: HoldChange) {
        self.write(&Line::Hold(change.clone()));
        if self.ledger.holds.len() < RUNS_MAX {
            self.ledger.holds.push(change);
        }
    }

    pub(crate) fn record_start(&mut self, start: ServerStart) {
        self.write(&Line::Started(start.clone()));
        self.ledger.starts.push(start);
    }

    fn write(&mut self, line: &Line) {
        if let Some(file) = &mut self.file {
            let mut text = serde_json::to_vec(line).unwrap_or_default();
            text.push(b'\n');
            let _ = file.write_all(&text);
        }
    }
}
