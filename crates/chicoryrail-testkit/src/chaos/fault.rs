//! The faults and how they are drawn.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

/// A fault of a chaos run. Hosts, targets and data centres go by their index; times are lengths in
/// milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub(crate) enum Fault {
    /// A router is killed and started again.
    KillRouter { host: usize, for_ms: u64 },
    /// A target is killed and started again, cold.
    KillTarget { target: usize, for_ms: u64 },
    /// A router is stopped by a signal and goes on later; its leases run out meanwhile.
    PauseRouter { host: usize, for_ms: u64 },
    /// A target is stopped by a signal and goes on as if nothing had happened.
    PauseTarget { target: usize, for_ms: u64 },
    /// A host is cut off from the store alone.
    StoreAway { host: usize, for_ms: u64 },
    /// The store does not answer.
    StoreDown { polite: bool, for_ms: u64 },
    /// The store answers late.
    StoreSlow { delay_ms: u64, for_ms: u64 },
    /// The store does what it is asked and its answers are lost.
    StoreLosesAnswers { share: f64, for_ms: u64 },
    /// A target can't be reached.
    TargetAway { target: usize, for_ms: u64 },
    /// A target is slow.
    TargetSlow {
        target: usize,
        factor: f64,
        for_ms: u64,
    },
    /// A target turns cold again under the same start.
    TargetCold { target: usize },
    /// A target names how many requests a second it takes.
    TargetLimited {
        target: usize,
        rate: f64,
        for_ms: u64,
    },
    /// A target hears no call about keys.
    TargetDeaf { target: usize, for_ms: u64 },
    /// A target announces that it leaves, ends, and another starts in its place.
    TargetLeaves { target: usize },
    /// A target runs requests and its answers are lost.
    TargetLosesAnswers {
        target: usize,
        share: f64,
        for_ms: u64,
    },
    /// A target gives requests the answers of others.
    TargetCrossesAnswers {
        target: usize,
        share: f64,
        for_ms: u64,
    },
    /// A target's answers end within their body.
    TargetCutsAnswers {
        target: usize,
        share: f64,
        for_ms: u64,
    },
    /// The connections to a target are reset.
    TargetReset { target: usize },
    /// A host's way to the store is slow and jitters.
    StoreFar {
        host: usize,
        delay_ms: u64,
        for_ms: u64,
    },
    /// Two operators put different configurations at once.
    RacingOperators,
    /// A data centre is taken out of service and brought back.
    DataCentreOut { centre: usize, for_ms: u64 },
    /// Every host in turn is stopped as planned and started again.
    RollingRestart,
}

/// A fault as it was made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct FaultRecord {
    /// The fault.
    #[serde(flatten)]
    pub(crate) fault: Fault,
    /// Wall-clock start in microseconds.
    pub(crate) from: u64,
    /// Wall-clock end in microseconds.
    pub(crate) until: u64,
    /// What did not go as planned; empty where all did.
    pub(crate) note: String,
}

/// What faults are drawn from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sizes {
    pub(crate) hosts: usize,
    pub(crate) targets: usize,
    pub(crate) centres: usize,
}

/// Number of kinds of faults, and of those that are drawn where none are named. One more there would change what each
/// fixed seed draws.
const KINDS: u32 = 21;
const UNNAMED_KINDS: u32 = 20;

/// Draws tried for a fault among those that are wanted.
const DRAWS: u32 = 10_000;

impl Fault {
    /// Draws a fault; `only` names those that are wanted, none for all.
    pub(crate) fn draw(rng: &mut Pcg64Mcg, sizes: Sizes, only: &[String]) -> Option<Self> {
        let kinds = if only.is_empty() {
            UNNAMED_KINDS
        } else {
            KINDS
        };
        (0..DRAWS)
            .map(|_| Self::any(rng, sizes, kinds))
            .find(|f| only.is_empty() || only.iter().any(|n| n == f.name()))
    }

    fn any(rng: &mut Pcg64Mcg, sizes: Sizes, kinds: u32) -> Self {
        let host = rng.random_range(0..sizes.hosts);
        let target = rng.random_range(0..sizes.targets);
        let for_ms = rng.random_range(300..3_000);
        let share = rng.random_range(0.1..1.0);
        match rng.random_range(0..kinds) {
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
            _ if rng.random() => Self::DataCentreOut {
                centre: rng.random_range(0..sizes.centres),
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
            Self::TargetReset { .. } => "target-reset",
            Self::StoreFar { .. } => "store-far",
            Self::TargetLimited { .. } => "target-limited",
            Self::TargetDeaf { .. } => "target-deaf",
            Self::TargetLeaves { .. } => "target-leaves",
            Self::RacingOperators => "racing-operators",
            Self::DataCentreOut { .. } => "data-centre-out",
            Self::RollingRestart => "rolling-restart",
        }
    }

    /// Tells whether the fault is an act of operators that must cut no request.
    pub(crate) const fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::RacingOperators
                | Self::DataCentreOut { .. }
                | Self::TargetLeaves { .. }
                | Self::RollingRestart
        )
    }

    /// Tells whether a host is killed, restarted or frozen, so that it may not know, or not keep, a target's limit.
    pub(crate) const fn strikes_hosts(&self) -> bool {
        matches!(
            self,
            Self::KillRouter { .. } | Self::PauseRouter { .. } | Self::RollingRestart
        )
    }

    /// Tells whether what is announced in the store may not be heard in time, or not hold any more: a target
    /// that starts again has not announced its leave.
    pub(crate) const fn delays_news(&self) -> bool {
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
