//! The random choice of faults.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::chaos::Fault;
use crate::chaos::cut_form::CutForm;

/// What faults can choose from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClusterSize {
    pub(crate) hosts: usize,
    pub(crate) targets: usize,
    pub(crate) data_centres: usize,
    /// Whether there are proxies before the store and the targets.
    pub(crate) proxied: bool,
}

/// Number of cases that [`Fault::generate`] chooses from if the options name no kind; `DataCentreOut` and
/// `RollingRestart` share one.
const DEFAULT_KIND_COUNT: u32 = 20;

/// The same if the options name kinds, but none of the later ones. Neither grows with the cases, since a further case
/// would change the faults that each fixed seed gives.
const NAMED_KIND_COUNT: u32 = 24;

/// The same if the options name one of these kinds, the last of which counts.
const LATER_KIND_COUNTS: [(u32, &[&str]); 2] = [
    (27, &["targets-stall", "stop-series", "reload-series"]),
    (
        31,
        &[
            "restart-targets",
            "pause-many",
            "slow-accept",
            "store-paused",
        ],
    ),
];

/// Maximum number of random faults generated in search of one of a named kind.
const MAX_DRAWS: u32 = 10_000;

impl Fault {
    /// Returns a random fault of one of the named kinds, or of any default kind if `names` is empty.
    ///
    /// Returns `None` if no fault of a named kind is found in [`MAX_DRAWS`] attempts, as with unknown names.
    pub(crate) fn random(rng: &mut Pcg64Mcg, size: ClusterSize, names: &[String]) -> Option<Self> {
        let is_named = |kinds: &[&str]| names.iter().any(|n| kinds.contains(&n.as_str()));
        let mut later = LATER_KIND_COUNTS.iter().rev();
        let kind_count = match later.find(|(_, kinds)| is_named(kinds)) {
            Some((count, _)) => *count,
            None if names.is_empty() => DEFAULT_KIND_COUNT,
            None => NAMED_KIND_COUNT,
        };
        (0..MAX_DRAWS)
            .map(|_| Self::generate(rng, size, kind_count))
            .filter(|f| size.proxied || !f.needs_proxy())
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
            24 => Self::TargetsStall {
                share: rng.random_range(0.5..1.0),
                factor: rng.random_range(310.0..360.0),
                lost: rng.random_range(0.0..0.3),
                for_ms: 3_000 + for_ms,
            },
            25 => Self::StopSeries {
                gap_ms: rng.random_range(300..1_500),
            },
            26 => Self::ReloadSeries {
                gap_ms: rng.random_range(300..1_000),
            },
            27 => Self::RestartTargets {
                share: rng.random_range(0.2..0.8),
                rounds: rng.random_range(2..6),
                gap_ms: rng.random_range(20..400),
                seed: rng.random(),
            },
            28 => Self::PauseMany {
                hosts: rng.random_range(1..4).min(size.hosts),
                targets: rng.random_range(2..7),
                rounds: rng.random_range(2..5),
                seed: rng.random(),
            },
            29 => Self::SlowAccept {
                share: rng.random_range(0.1..0.6),
                rounds: rng.random_range(2..5),
                seed: rng.random(),
            },
            30 => Self::StorePaused {
                for_ms: rng.random_range(1_000..5_000),
            },
            _ if rng.random() => Self::DataCentreOut {
                centre: rng.random_range(0..size.data_centres),
                for_ms: 3_500 + for_ms,
            },
            _ => Self::RollingRestart,
        }
    }
}
