//! Evidence of a run for the checks.

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

/// Records of callers, targets and the store, and the actions of the harness; nothing that the product reports
/// about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Requests and their outcomes as recorded by the callers.
    pub records: Vec<CallRecord>,
    /// Requests that targets ran, of all targets.
    pub runs: Vec<Run>,
    /// Overruns of targets that were warming up.
    pub overruns: Vec<Overrun>,
    /// Overruns of targets that advertised a limit.
    #[serde(default)]
    pub limit_overruns: Vec<LimitOverrun>,
    /// Writes of the store, oldest first.
    pub history: Vec<Change>,
    /// Periods in which servers were out of service.
    pub outs: Vec<OutPeriod>,
    /// Planned stops of routers without a concurrent fault.
    pub stops: Vec<HostTime>,
    /// Periods in which routers were paused.
    pub frozen: Vec<HostTime>,
    /// Quota of each organisation, by name.
    pub quotas: BTreeMap<String, QuotaWindow>,
}

/// Number of requests of an organisation that may run in any window of a given length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaWindow {
    /// Length of the window in milliseconds.
    pub length_ms: u64,
    /// Number of requests allowed in a window.
    pub requests: u64,
}

impl Evidence {
    /// Adds the targets' ledgers.
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

/// A period in which servers must get no new requests, wall clock in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutPeriod {
    /// Names of the servers.
    pub servers: Vec<String>,
    /// End of the delay allowed after the announcement.
    pub from: u64,
    /// When the servers were returned to service, or ended.
    pub until: u64,
}

/// Period of a planned stop or a pause of a router, wall clock in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostTime {
    /// Address of the router's listener for callers.
    pub host: SocketAddr,
    /// When the stop was requested, or the pause began.
    pub from: u64,
    /// When the router had ended, or was resumed.
    pub until: u64,
}
