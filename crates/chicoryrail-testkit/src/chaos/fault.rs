//! The kinds of faults and their random choice.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
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
}

/// An injected fault and its times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct FaultRecord {
    /// The fault.
    #[serde(flatten)]
    pub(crate) fault: Fault,
    /// Start in microseconds since 1970.
    pub(crate) from: u64,
    /// End in microseconds since 1970.
    pub(crate) until: u64,
    /// Error of the injection or removal; empty on success.
    pub(crate) note: String,
}

/// Numbers of hosts, targets and data centres that faults can choose from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClusterSize {
    pub(crate) hosts: usize,
    pub(crate) targets: usize,
    pub(crate) data_centres: usize,
}

/// Number of cases that [`Fault::generate`] chooses from; `DataCentreOut` and `RollingRestart` share one.
const KIND_COUNT: u32 = 24;

/// Number of these cases to choose from if the options name no kind. It does not grow with [`KIND_COUNT`], since a
/// further case would change the faults that each fixed seed gives.
const DEFAULT_KIND_COUNT: u32 = 20;

/// Maximum number of random faults generated in search of one of a named kind.
const MAX_DRAWS: u32 = 10_000;

impl Fault {
    /// Returns a random fault of one of the named kinds, or of any default kind if `names` is empty.
    ///
    /// Returns `None` if no fault of a named kind is found in [`MAX_DRAWS`] attempts, as with unknown names.
    pub(crate) fn random(rng: &mut Pcg64Mcg, size: ClusterSize, names: &[String]) -> Option<Self> {
        let kind_count = if names.is_empty() {
            DEFAULT_KIND_COUNT
        } else {
            KIND_COUNT
        };
        (0..MAX_DRAWS)
            .map(|_| Self::generate(rng, size, kind_count))
            .find(|f| names.is_empty() || names.iter().any(|n| n == f.name()))
    }

    /// Returns a random fault of one of the first `kind_count` cases.
    fn generate(rng: &mut Pcg64Mcg, size: ClusterSize, kind_count: u32) -> Self {
        let host = rng.random_range(0..size.hosts);
        let target = rng.random_range(0..size.targets);
        let for_ms = rng.random_range(300..3_000);
        let share = rng.random_range(0.1..1.0);
        match rng.random_range(0..kind_count) {
            0 => Self::KillRouter { host, for_ms },
            1 => Self::KillTarget { target, for_ms },
            2 => Self::PauseRouter { host, for_ms },
            3 => Self::PauseTarget { target, for_ms },
            4 => Self::StoreAway { host, for_ms },
            5 => Self::StoreDown {
                polite: rng.random(),
                for_ms: for_ms * 2,
            },
            6 => Self::StoreSlow {
                delay_ms: rng.random_range(50..600),
                for_ms: for_ms * 2,
            },
            7 => Self::StoreLosesAnswers { share, for_ms },
            8 => Self::TargetAway { target, for_ms },
            9 => Self::TargetSlow {
                target,
                factor: rng.random_range(5.0..50.0),
                for_ms,
            },
            10 => Self::TargetCold { target },
            11 => Self::TargetLosesAnswers {
                target,
                share,
                for_ms,
            },
            12 => Self::TargetCrossesAnswers {
                target,
                share,
                for_ms,
            },
            13 => Self::TargetCutsAnswers {
                target,
                share,
                for_ms,
            },
            14 => Self::TargetReset { target },
            15 => Self::StoreFar {
                host,
                delay_ms: rng.random_range(5..150),
                for_ms,
            },
            16 => Self::RacingOperators,
            17 => Self::TargetDeaf { target, for_ms },
            18 => Self::TargetLeaves { target },
            20 => Self::TargetLimited {
                target,
                rate: rng.random_range(1.0..20.0),
                for_ms: 5_000 + for_ms,
            },
            21 => Self::TargetSaysDraining { target },
            22 => Self::TargetBacksOff {
                target,
                share,
                backoff_ms: rng.random_range(1_000..4_000),
                for_ms,
            },
            23 => Self::PathsLost {
                host,
                form: match rng.random_range(0..3) {
                    0 => CutForm::Refused,
                    1 => CutForm::Silent,
                    _ => CutForm::NewRefused,
                },
                for_ms: 4_000 + for_ms,
            },
            _ if rng.random() => Self::DataCentreOut {
                centre: rng.random_range(0..size.data_centres),
                for_ms: 3_500 + for_ms,
            },
            _ => Self::RollingRestart,
        }
    }

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
        }
    }

    /// Returns `true` if the fault is a planned action of an operator or a server, which must leave no request without
    /// a response.
    pub(crate) const fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::RacingOperators
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
            Self::KillRouter { .. } | Self::PauseRouter { .. } | Self::RollingRestart
        )
    }

    /// Returns `true` if the fault can delay an announcement in the store or void it: a target that restarts no
    /// longer announces that it is draining.
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
        )
    }
}
