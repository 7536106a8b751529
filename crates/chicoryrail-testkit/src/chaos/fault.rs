//! The faults and how they are drawn.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

/// Which ways between a host and the rest are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Ways {
    /// Both ways.
    Both,
    /// What the host sends to the others and to the store.
    Out,
    /// What the others send to the host.
    In,
}

/// A fault of a chaos run. Hosts, targets and data centres go by their index; times are lengths in
/// milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub(crate) enum Fault {
    /// A gate is killed and started again.
    KillGate { host: usize, for_ms: u64 },
    /// A controller is killed and started again.
    KillController { host: usize, for_ms: u64 },
    /// All processes of a host are killed and started again.
    KillHost { host: usize, for_ms: u64 },
    /// A target is killed and started again, cold.
    KillTarget { target: usize, for_ms: u64 },
    /// A gate is stopped by a signal and goes on later.
    PauseGate { host: usize, for_ms: u64 },
    /// A controller is stopped by a signal and goes on later; its leases run out meanwhile.
    PauseController { host: usize, for_ms: u64 },
    /// A target is stopped by a signal and goes on as if nothing had happened.
    PauseTarget { target: usize, for_ms: u64 },
    /// A host is cut off from the other hosts and from the store.
    Partition {
        host: usize,
        ways: Ways,
        for_ms: u64,
    },
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
    /// A target turns cold without warning.
    TargetCold { target: usize, new_instance: bool },
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
    /// What a host sends to the others is slow and jitters.
    HostSlow {
        host: usize,
        delay_ms: u64,
        for_ms: u64,
    },
    /// Two operators roll different bundles at once.
    RacingOperators,
    /// A data centre is taken out of service and brought back.
    DataCentreOut { centre: usize, for_ms: u64 },
    /// Every host in turn is stopped as planned and started again.
    RollingRestart,
}

/// What faults are drawn from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sizes {
    pub(crate) hosts: usize,
    pub(crate) targets: usize,
    pub(crate) centres: usize,
}

/// Number of kinds of faults.
const KINDS: u32 = 23;

/// Draws tried for a fault among those that are wanted.
const DRAWS: u32 = 10_000;

impl Fault {
    /// Draws a fault; `only` names those that are wanted, none for all.
    pub(crate) fn draw(rng: &mut Pcg64Mcg, sizes: Sizes, only: &[String]) -> Option<Self> {
        (0..DRAWS)
            .map(|_| Self::any(rng, sizes))
            .find(|f| only.is_empty() || only.iter().any(|n| n == f.name()))
    }

    fn any(rng: &mut Pcg64Mcg, sizes: Sizes) -> Self {
        let host = rng.random_range(0..sizes.hosts);
        let target = rng.random_range(0..sizes.targets);
        let for_ms = rng.random_range(300..3_000);
        let share = rng.random_range(0.1..1.0);
        match rng.random_range(0..KINDS) {
            0 => Self::KillGate { host, for_ms },
            1 => Self::KillController { host, for_ms },
            2 => Self::KillHost { host, for_ms },
            3 => Self::KillTarget { target, for_ms },
            4 => Self::PauseGate { host, for_ms },
            5 => Self::PauseController { host, for_ms },
            6 => Self::PauseTarget { target, for_ms },
            7 => Self::Partition {
                host,
                ways: [Ways::Both, Ways::Out, Ways::In][rng.random_range(0..3)],
                for_ms,
            },
            8 => Self::StoreAway { host, for_ms },
            9 => Self::StoreDown {
                polite: rng.random(),
                for_ms: for_ms * 2,
            },
            10 => Self::StoreSlow {
                delay_ms: rng.random_range(50..600),
                for_ms: for_ms * 2,
            },
            11 => Self::StoreLosesAnswers { share, for_ms },
            12 => Self::TargetAway { target, for_ms },
            13 => Self::TargetSlow {
                target,
                factor: rng.random_range(5.0..50.0),
                for_ms,
            },
            14 | 15 => Self::TargetCold {
                target,
                new_instance: rng.random(),
            },
            16 => Self::TargetLosesAnswers {
                target,
                share,
                for_ms,
            },
            17 => Self::TargetCrossesAnswers {
                target,
                share,
                for_ms,
            },
            18 => Self::TargetCutsAnswers {
                target,
                share,
                for_ms,
            },
            19 => Self::TargetReset { target },
            20 => Self::HostSlow {
                host,
                delay_ms: rng.random_range(5..150),
                for_ms,
            },
            21 => Self::RacingOperators,
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
            Self::KillGate { .. } => "kill-gate",
            Self::KillController { .. } => "kill-controller",
            Self::KillHost { .. } => "kill-host",
            Self::KillTarget { .. } => "kill-target",
            Self::PauseGate { .. } => "pause-gate",
            Self::PauseController { .. } => "pause-controller",
            Self::PauseTarget { .. } => "pause-target",
            Self::Partition { .. } => "partition",
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
            Self::HostSlow { .. } => "host-slow",
            Self::RacingOperators => "racing-operators",
            Self::DataCentreOut { .. } => "data-centre-out",
            Self::RollingRestart => "rolling-restart",
        }
    }

    /// Tells whether the fault is an act of operators that must cut no request.
    pub(crate) const fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::RacingOperators | Self::DataCentreOut { .. } | Self::RollingRestart
        )
    }
}
