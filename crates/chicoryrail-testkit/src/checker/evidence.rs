//! What was seen.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::CallRecord;
use crate::Change;
use crate::Ledger;
use crate::LimitOverrun;
use crate::Overrun;
use crate::Run;

/// What callers, targets and the store saw, and what the harness did; never the product's own word.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Requests as their callers saw them.
    pub records: Vec<CallRecord>,
    /// Requests that took effect, of all targets.
    pub runs: Vec<Run>,
    /// Overruns of cold targets.
    pub overruns: Vec<Overrun>,
    /// Overruns of limited targets.
    #[serde(default)]
    pub limit_overruns: Vec<LimitOverrun>,
    /// Writes of the store, oldest first.
    pub history: Vec<Change>,
    /// Times in which servers were out of service.
    pub outs: Vec<OutPeriod>,
    /// Planned stops of routers during which nothing else was wrong.
    pub stops: Vec<HostTime>,
    /// Times in which routers were paused.
    pub frozen: Vec<HostTime>,
    /// Requests of an organisation that may run in any window, by its name.
    pub quotas: BTreeMap<String, QuotaWindow>,
}

/// Requests of an organisation that may run in any window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaWindow {
    /// Length of the window in milliseconds.
    pub length_ms: u64,
    /// Requests.
    pub requests: u64,
}

impl Evidence {
    /// Adds what the targets saw.
    #[must_use]
    pub fn with_ledgers(mut self, ledgers: Vec<Ledger>) -> Self {
        for ledger in ledgers {
            self.runs.extend(ledger.runs);
            self.overruns.extend(ledger.overruns);
            self.limit_overruns.extend(ledger.limit_overruns);
        }
        self
    }
}

/// A time in which servers must get no new work, wall clock in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutPeriod {
    /// Names of the servers.
    pub servers: Vec<String>,
    /// When the time allowed to the system after the announcement was over.
    pub from: u64,
    /// When they were asked back, or ended.
    pub until: u64,
}

/// A time of a router, wall clock in microseconds: of a planned stop or of a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostTime {
    /// The router's listener for callers.
    pub host: SocketAddr,
    /// When it was asked to stop, or was paused.
    pub from: u64,
    /// When it had ended, or went on.
    pub until: u64,
}
