//! The kinds of faults.

use serde::Deserialize;
use serde::Serialize;

use crate::chaos::cut_form::CutForm;

/// A fault of a chaos run.
///
/// Hosts, targets and data centres are given by index, durations (`for_ms`) in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub(crate) enum Fault {
    /// A router is killed and restarted.
    KillRouter { host: usize, for_ms: u64 },
    /// A target is killed and restarted, and has to warm up.
    KillTarget { target: usize, for_ms: u64 },
    /// A router is paused by a signal and resumed later; its leases expire in the meantime.
    PauseRouter { host: usize, for_ms: u64 },
    /// A target is paused by a signal and resumed with its state unchanged.
    PauseTarget { target: usize, for_ms: u64 },
    /// A host's link to the store is cut; its other links work.
    StoreAway { host: usize, for_ms: u64 },
    /// The store does not execute requests: it responds with status 503 (`polite`) or closes the connection.
    StoreDown { polite: bool, for_ms: u64 },
    /// The store delays its responses.
    StoreSlow { delay_ms: u64, for_ms: u64 },
    /// The store executes requests, and a fraction of its responses is lost.
    StoreLosesAnswers { share: f64, for_ms: u64 },
    /// A target is unreachable.
    TargetAway { target: usize, for_ms: u64 },
    /// A target's service time is multiplied by `factor`.
    TargetSlow {
        target: usize,
        factor: f64,
        for_ms: u64,
    },
    /// A target has to warm up again without a restart.
    TargetCold { target: usize },
    /// A target advertises a limit of `rate` requests per second.
    TargetLimited {
        target: usize,
        rate: f64,
        for_ms: u64,
    },
    /// A target refuses a fraction of its requests, and asks each of those hosts to send nothing for `backoff_ms`.
    TargetBacksOff {
        target: usize,
        share: f64,
        backoff_ms: u64,
        for_ms: u64,
    },
    /// A target does not respond to grants and releases of keys.
    TargetDeaf { target: usize, for_ms: u64 },
    /// A target announces that it is draining, is killed after a while, and is started again.
    TargetLeaves { target: usize },
    /// A target announces only in its responses that it is draining, is killed after a while, and is started again.
    TargetSaysDraining { target: usize },
    /// A target runs requests, and a fraction of its responses is lost.
    TargetLosesAnswers {
        target: usize,
        share: f64,
        for_ms: u64,
    },
    /// A target sends the responses of other requests to a fraction of the requests.
    TargetCrossesAnswers {
        target: usize,
        share: f64,
        for_ms: u64,
    },
    /// A target closes the connection within the body of a fraction of its responses.
    TargetCutsAnswers {
        target: usize,
        share: f64,
        for_ms: u64,
    },
    /// A host loses its paths to all targets, which the store and the other hosts reach.
    PathsLost {
        host: usize,
        form: CutForm,
        for_ms: u64,
    },
    /// Every connection to a target is reset.
    TargetReset { target: usize },
    /// A host's link to the store has delay and jitter.
    StoreFar {
        host: usize,
        delay_ms: u64,
        for_ms: u64,
    },
    /// Two operators write different configurations at once.
    RacingOperators,
    /// A data centre is taken out of service and returned to service.
    DataCentreOut { centre: usize, for_ms: u64 },
    /// Every host in turn is stopped by a planned stop and restarted.
    RollingRestart,
    /// Many targets take almost as long as callers wait, and lose a fraction of their responses.
    TargetsStall {
        /// Fraction of the targets.
        share: f64,
        /// Factor by which their service time is multiplied.
        factor: f64,
        /// Fraction of their responses that is lost.
        lost: f64,
        for_ms: u64,
    },
    /// Every host is stopped by a planned stop and restarted, each `gap_ms` after the one before.
    StopSeries { gap_ms: u64 },
    /// Every host gets SIGHUP, each `gap_ms` after the one before, and the configuration changes each time.
    ReloadSeries { gap_ms: u64 },
    /// Many targets with keys are killed and soon restarted, each `gap_ms` after the one before, in several rounds. They
    /// serve at once and register late.
    RestartTargets {
        /// Fraction of the targets with keys in each round.
        share: f64,
        rounds: u32,
        gap_ms: u64,
        /// Seed of the choice of targets and of the times.
        seed: u64,
    },
    /// The leader, other hosts and targets with keys are paused at once, in several rounds; some of the targets are then
    /// killed and restarted instead of resumed.
    PauseMany {
        /// Number of hosts in each round, among them the leader if it is known.
        hosts: usize,
        /// Number of targets in each round.
        targets: usize,
        rounds: u32,
        /// Seed of the choice of hosts and targets and of the times.
        seed: u64,
    },
    /// Many targets with keys accept and read late, and otherwise go on working, in several rounds.
    SlowAccept {
        /// Fraction of the targets with keys in each round.
        share: f64,
        rounds: u32,
        /// Seed of the choice of targets and of the times.
        seed: u64,
    },
    /// The store is paused by a signal and resumed.
    StorePaused { for_ms: u64 },
}

impl Fault {
    /// Returns the name of the kind, as in JSON.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::KillRouter { .. } => "kill-router",
            Self::KillTarget { .. } => "kill-target",
            Self::PauseRouter { .. } => "pause-router",
            Self::PauseTarget { .. } => "pause-target",
            Self::StoreAway { .. } => "store-away",
            Self::StoreDown { .. } => "store-down",
            Self::StoreSlow { .. } => "store-slow",
            Self::StoreLosesAnswers { .. } => "store-loses-answers",
            Self::TargetAway { .. } => "target-away",
            Self::TargetSlow { .. } => "target-slow",
            Self::TargetCold { .. } => "target-cold",
            Self::TargetLosesAnswers { .. } => "target-loses-answers",
            Self::TargetCrossesAnswers { .. } => "target-crosses-answers",
            Self::TargetCutsAnswers { .. } => "target-cuts-answers",
            Self::PathsLost { .. } => "paths-lost",
            Self::TargetReset { .. } => "target-reset",
            Self::StoreFar { .. } => "store-far",
            Self::TargetLimited { .. } => "target-limited",
            Self::TargetBacksOff { .. } => "target-backs-off",
            Self::TargetDeaf { .. } => "target-deaf",
            Self::TargetLeaves { .. } => "target-leaves",
            Self::TargetSaysDraining { .. } => "target-says-draining",
            Self::RacingOperators => "racing-operators",
            Self::DataCentreOut { .. } => "data-centre-out",
            Self::RollingRestart => "rolling-restart",
            Self::TargetsStall { .. } => "targets-stall",
            Self::StopSeries { .. } => "stop-series",
            Self::ReloadSeries { .. } => "reload-series",
            Self::RestartTargets { .. } => "restart-targets",
            Self::PauseMany { .. } => "pause-many",
            Self::SlowAccept { .. } => "slow-accept",
            Self::StorePaused { .. } => "store-paused",
        }
    }

    /// Returns `true` if the fault is one of the proxies before the store and the targets.
    pub(crate) const fn needs_proxy(&self) -> bool {
        matches!(
            self,
            Self::StoreAway { .. }
                | Self::StoreFar { .. }
                | Self::TargetAway { .. }
                | Self::TargetReset { .. }
        )
    }

    /// Returns `true` if the fault must leave no request without a response while a router is stopped as planned: a
    /// planned action of an operator or a server, or slow targets.
    pub(crate) const fn allows_planned_stops(&self) -> bool {
        matches!(
            self,
            Self::TargetSlow { .. }
                | Self::TargetsStall { .. }
                | Self::StopSeries { .. }
                | Self::ReloadSeries { .. }
                | Self::RacingOperators
                | Self::DataCentreOut { .. }
                | Self::TargetLeaves { .. }
                | Self::RollingRestart
        )
    }

    /// Returns `true` if the fault kills, restarts or pauses a host: the host may then not know, or not apply,
    /// the limit of a target.
    pub(crate) const fn interrupts_hosts(&self) -> bool {
        matches!(
            self,
            Self::KillRouter { .. }
                | Self::PauseRouter { .. }
                | Self::PauseMany { .. }
                | Self::RollingRestart
                | Self::StopSeries { .. }
        )
    }

    /// Returns `true` if the fault can break connections between hosts and targets that both use.
    pub(crate) const fn severs_connections(&self) -> bool {
        matches!(
            self,
            Self::KillRouter { .. }
                | Self::PauseRouter { .. }
                | Self::PauseMany { .. }
                | Self::TargetAway { .. }
                | Self::TargetReset { .. }
                | Self::PathsLost { .. }
        )
    }

    /// Returns `true` if the fault can delay an announcement in the store or void it: a target that restarts no
    /// longer announces that it is draining. A target that reads late runs requests that were sent before its
    /// announcement.
    pub(crate) const fn delays_announcements(&self) -> bool {
        matches!(
            self,
            Self::StoreAway { .. }
                | Self::StoreDown { .. }
                | Self::StoreSlow { .. }
                | Self::StoreFar { .. }
                | Self::StoreLosesAnswers { .. }
                | Self::PauseRouter { .. }
                | Self::PauseTarget { .. }
                | Self::KillTarget { .. }
                | Self::RestartTargets { .. }
                | Self::PauseMany { .. }
                | Self::SlowAccept { .. }
                | Self::StorePaused { .. }
        )
    }
}
