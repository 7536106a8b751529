//! Faults of a target.

use chicoryrail_core::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

use crate::timed::Timed;

/// A fault, as `PUT /testkit/fault` takes it in JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum TargetFault {
    /// Requests take longer.
    Slow {
        /// Length of the fault in milliseconds.
        for_ms: u64,
        /// Factor on the service time.
        factor: f64,
    },
    /// The caches are empty again.
    Cold {
        /// Length of the cold phase; the program's own where absent.
        #[serde(default)]
        for_ms: Option<u64>,
    },
    /// The server announces that it leaves; it serves what comes all the same.
    Leave,
    /// Grants and releases neither arrive nor get an answer.
    Deaf {
        /// Length of the fault in milliseconds.
        for_ms: u64,
    },
    /// Requests run and fail.
    Fail {
        /// Length of the fault in milliseconds.
        for_ms: u64,
        /// Share of the requests concerned.
        #[serde(default = "always")]
        share: f64,
    },
    /// Requests are refused before they run.
    Refuse {
        /// Length of the fault in milliseconds.
        for_ms: u64,
        /// Share of the requests concerned.
        #[serde(default = "always")]
        share: f64,
    },
    /// Answers name the rate that the server takes; it serves what comes all the same.
    NameLimit {
        /// Length of the fault in milliseconds.
        for_ms: u64,
        /// Requests a second from all hosts together.
        rate: f64,
    },
    /// Answers lack the mark of the server that ran the request.
    Unmarked {
        /// Length of the fault in milliseconds.
        for_ms: u64,
    },
    /// Answers are held until the fault ends.
    Freeze {
        /// Length of the fault in milliseconds.
        for_ms: u64,
    },
    /// Answers come late.
    Late {
        /// Length of the fault in milliseconds.
        for_ms: u64,
        /// Share of the answers concerned.
        #[serde(default = "always")]
        share: f64,
        /// Delay of an answer in milliseconds.
        delay_ms: u64,
    },
    /// Answers are cut within their body.
    Cut {
        /// Length of the fault in milliseconds.
        for_ms: u64,
        /// Share of the answers concerned.
        #[serde(default = "always")]
        share: f64,
        /// Bytes of the body that are sent.
        after: u64,
    },
    /// Requests run and their connection is closed without an answer.
    LoseAnswers {
        /// Length of the fault in milliseconds.
        for_ms: u64,
        /// Share of the answers concerned.
        #[serde(default = "always")]
        share: f64,
    },
    /// A request is given the answer of an earlier request.
    Crossed {
        /// Length of the fault in milliseconds.
        for_ms: u64,
        /// Share of the answers concerned.
        #[serde(default = "always")]
        share: f64,
    },
}

const fn always() -> f64 {
    1.0
}

/// What befalls one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Fate {
    pub(crate) delay: Millis,
    pub(crate) cut: Option<u64>,
    pub(crate) lost: bool,
    pub(crate) crossed: bool,
    pub(crate) failed: bool,
    pub(crate) unmarked: bool,
}

/// The faults that are on.
#[derive(Debug)]
pub(crate) struct TargetFaults {
    on: Timed<TargetFault>,
    rng: Pcg64Mcg,
}

impl TargetFaults {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            on: Timed::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Switches a fault on, beside those that are on.
    pub(crate) fn add(&mut self, now: Millis, fault: TargetFault) {
        let for_ms = match &fault {
            TargetFault::Slow { for_ms, .. }
            | TargetFault::Freeze { for_ms }
            | TargetFault::Deaf { for_ms }
            | TargetFault::NameLimit { for_ms, .. }
            | TargetFault::Unmarked { for_ms }
            | TargetFault::Fail { for_ms, .. }
            | TargetFault::Refuse { for_ms, .. }
            | TargetFault::Late { for_ms, .. }
            | TargetFault::Cut { for_ms, .. }
            | TargetFault::LoseAnswers { for_ms, .. }
            | TargetFault::Crossed { for_ms, .. } => *for_ms,
            TargetFault::Cold { .. } | TargetFault::Leave => return,
        };
        self.on.add(now + Millis(for_ms), fault);
    }

    /// Switches all faults off.
    pub(crate) fn clear(&mut self) {
        self.on.clear();
    }

    /// Returns the factor on the service time.
    pub(crate) fn factor(&mut self, now: Millis) -> f64 {
        self.on
            .at(now)
            .filter_map(|(_, f)| match f {
                TargetFault::Slow { factor, .. } => Some(*factor),
                _ => None,
            })
            .product()
    }

    /// Returns the rate that answers name.
    pub(crate) fn limit(&mut self, now: Millis) -> Option<f64> {
        self.on.at(now).find_map(|(_, f)| match f {
            TargetFault::NameLimit { rate, .. } => Some(*rate),
            _ => None,
        })
    }

    /// Returns when the server hears calls about keys again, where it does not.
    pub(crate) fn is_deaf(&mut self, now: Millis) -> Option<Millis> {
        let mut on = self.on.at(now);
        let deaf = on.find(|(_, f)| matches!(f, TargetFault::Deaf { .. }));
        deaf.map(|(ends, _)| *ends)
    }

    /// Draws whether the next request is refused.
    pub(crate) fn refuses(&mut self, now: Millis) -> bool {
        let share = self.on.at(now).find_map(|(_, f)| match f {
            TargetFault::Refuse { share, .. } => Some(share.clamp(0.0, 1.0)),
            _ => None,
        });
        share.is_some_and(|s| self.rng.random_bool(s))
    }

    /// Draws what befalls the next answer.
    pub(crate) fn draw(&mut self, now: Millis) -> Fate {
        let mut fate = Fate::default();
        for (ends, fault) in self.on.at(now) {
            let mut hit = |share: &f64| self.rng.random_bool(share.clamp(0.0, 1.0));
            match fault {
                TargetFault::Freeze { .. } => fate.delay = fate.delay.max(ends.since(now)),
                TargetFault::Late {
                    share, delay_ms, ..
                } if hit(share) => fate.delay = fate.delay.max(Millis(*delay_ms)),
                TargetFault::Cut { share, after, .. } if hit(share) => fate.cut = Some(*after),
                TargetFault::LoseAnswers { share, .. } if hit(share) => fate.lost = true,
                TargetFault::Crossed { share, .. } if hit(share) => fate.crossed = true,
                TargetFault::Fail { share, .. } if hit(share) => fate.failed = true,
                TargetFault::Unmarked { .. } => fate.unmarked = true,
                _ => {}
            }
        }
        fate
    }
}
