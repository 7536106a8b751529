//! What a chaos run recorded, as input of the checks.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Arrival;
use crate::CallRecord;
use crate::CancelledRun;
use crate::Change;
use crate::HoldChange;
use crate::Ledger;
use crate::LimitOverrun;
use crate::Notice;
use crate::Overrun;
use crate::Run;
use crate::ServerStart;

/// Records of callers, targets and the store, and the actions of the harness, but nothing that the router reports
/// about itself.
///
/// Before the checks, a chaos run removes the overruns, periods out of service and planned stops that a concurrent
/// fault may have disturbed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Requests and their outcomes as recorded by the callers.
    pub records: Vec<CallRecord>,
    /// Requests that any target executed.
    pub runs: Vec<Run>,
    /// Lookups that targets cancelled while they ran.
    #[serde(default)]
    pub cancelled_runs: Vec<CancelledRun>,
    /// Times at which a target that was warming up received more requests than it can handle.
    pub overruns: Vec<Overrun>,
    /// Times at which a target received more requests than its advertised limit allows.
    #[serde(default)]
    pub limit_overruns: Vec<LimitOverrun>,
    /// Responses in which targets asked the host for something.
    #[serde(default)]
    pub notices: Vec<Notice>,
    /// Requests that arrived at targets which wanted nothing from at least one host.
    #[serde(default)]
    pub arrivals: Vec<Arrival>,
    /// Grants and releases of keys at targets.
    #[serde(default)]
    pub holds: Vec<HoldChange>,
    /// Starts of targets' processes.
    #[serde(default)]
    pub starts: Vec<ServerStart>,
    /// Ends of targets' processes; a process that was not ended by the harness has none.
    #[serde(default)]
    pub ended: Vec<ServerEnd>,
    /// Time in microseconds since 1970 up to which every target's ledger is complete; `None` if they are complete
    /// altogether.
    #[serde(default)]
    pub complete_until: Option<u64>,
    /// Writes and deletions in the store, oldest first.
    pub history: Vec<Change>,
    /// Periods in which servers must receive no new requests.
    pub outs: Vec<OutPeriod>,
    /// Planned stops of routers.
    pub stops: Vec<HostTime>,
    /// Periods from SIGTERM to the exit of a router, whatever else was disturbed.
    #[serde(default)]
    pub terminations: Vec<HostTime>,
    /// Periods in which connections between hosts and targets may have broken for another reason than the routers.
    #[serde(default)]
    pub severed: Vec<Period>,
    /// Periods in which routers were paused.
    pub frozen: Vec<HostTime>,
    /// Periods in which hosts had lost their paths to all targets and nothing else was disturbed.
    #[serde(default)]
    pub cuts: Vec<HostTime>,
    /// Periods in which routers were killed, stopped or paused, until they ran again. What a server asked of a router
    /// before does not bind it afterwards.
    #[serde(default)]
    pub interruptions: Vec<HostTime>,
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
    /// Adds the records of the targets' ledgers.
    #[must_use]
    pub fn with_ledgers(mut self, ledgers: Vec<Ledger>) -> Self {
        for ledger in ledgers {
            self.runs.extend(ledger.runs);
            self.cancelled_runs.extend(ledger.cancelled_runs);
            self.overruns.extend(ledger.overruns);
            self.limit_overruns.extend(ledger.limit_overruns);
            self.notices.extend(ledger.notices);
            self.arrivals.extend(ledger.arrivals);
            self.holds.extend(ledger.holds);
            self.starts.extend(ledger.starts);
        }
        self
    }
}

/// A period in which servers must receive no new requests. Times are in microseconds since 1970.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutPeriod {
    /// Names of the servers.
    pub servers: Vec<String>,
    /// Start: the time at which a server announced that it is draining, or its data centre was taken out of service,
    /// plus the delay that routers are allowed.
    pub from: u64,
    /// End: just before the servers are returned to service or killed.
    pub until: u64,
}

/// A period. Times are in microseconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Period {
    /// Start of the period.
    pub from: u64,
    /// End of the period.
    pub until: u64,
}

/// The end of a target's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEnd {
    /// Name of the server.
    pub server: String,
    /// Time in microseconds since 1970 at which the process had ended.
    pub time: u64,
}

/// The period of a stop, a kill or a pause of a router. Times are in microseconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostTime {
    /// Address of the router's listener for callers.
    pub host: SocketAddr,
    /// When the stop was requested, the router was killed or the pause began.
    pub from: u64,
    /// When the router had exited, was started again or was resumed.
    pub until: u64,
}
