//! The cases: load, targets and what goes wrong.

use chicoryrail_core::Class;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::policy::spell::Spell;
use crate::policy::spell::SpellKind;
use crate::policy::target::COLD_US;

/// One kind of work in a case.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Class of its requests.
    pub class: Class,
    /// Mean service time in microseconds.
    pub mean_us: f64,
    /// Part of all slots that it keeps busy.
    pub load: f64,
    /// Deadline in microseconds.
    pub deadline_us: u64,
}

/// What shows that a target turned cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It restarts, which breaks its connections.
    Restart,
    /// Nothing but its next answers.
    Answers,
}

/// What goes wrong in a case.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Nothing; the load is the trouble.
    None,
    /// At any time one random target is ten times as slow, for 200 to 800 ms.
    Straggler,
    /// Every fifth second, half a second of four times the load.
    Burst,
    /// Targets turn cold at a quarter of the run, for three seconds.
    Cold {
        /// One in how many.
        one_in: usize,
        /// How much longer work takes.
        factor: f64,
        /// What shows it.
        sign: Sign,
        /// Whether one that gets more than it bears starts to warm up anew.
        falls: bool,
    },
    /// Targets fail in the middle half of the run.
    Fail {
        /// One in how many.
        one_in: usize,
    },
}

impl Trouble {
    /// Tells whether every target is in it at the same time.
    #[must_use]
    pub const fn takes_all(self) -> bool {
        matches!(
            self,
            Self::Cold { one_in: 1, .. } | Self::Fail { one_in: 1 }
        )
    }
}

/// A load, targets and what goes wrong.
#[derive(Clone, Debug)]
pub struct Case {
    /// Name on the command line.
    pub name: &'static str,
    /// Targets.
    pub servers: usize,
    /// Slots of each.
    pub slots: u32,
    /// Gates that share the targets in our scheme.
    pub gates: usize,
    /// Kinds of work.
    pub work: Vec<Work>,
    /// Number of keys with a zipf 1.1 popularity; 0 for a free service.
    pub keys: usize,
    /// What goes wrong.
    pub trouble: Trouble,
    /// Length in microseconds.
    pub length_us: u64,
}

const SECOND: u64 = 1_000_000;
/// How much longer work takes at a cold target, where the case does not say otherwise.
const COLD_FACTOR: f64 = 5.0;

const fn lookups(mean_us: f64, load: f64) -> Work {
    Work {
        class: Class::Interactive,
        mean_us,
        load,
        deadline_us: SECOND,
    }
}

const fn orders(mean_us: f64, load: f64) -> Work {
    Work {
        class: Class::Order,
        mean_us,
        load,
        deadline_us: 2 * SECOND,
    }
}

const fn cold(one_in: usize, factor: f64, sign: Sign, falls: bool) -> Trouble {
    Trouble::Cold {
        one_in,
        factor,
        sign,
        falls,
    }
}

impl Case {
    fn new(name: &'static str, trouble: Trouble, work: &[Work]) -> Self {
        Self {
            name,
            servers: 12,
            slots: 2,
            gates: 4,
            work: work.to_vec(),
            keys: 0,
            trouble,
            length_us: 20 * SECOND,
        }
    }

    /// Returns every case.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let usual = [lookups(4_000.0, 0.54), orders(4_000.0, 0.06)];
        let reports = |load| Work {
            class: Class::Batch,
            mean_us: 200_000.0,
            load,
            deadline_us: 10 * SECOND,
        };
        let new = Self::new;
        vec![
            new("straggler", Trouble::Straggler, &usual),
            Self {
                gates: 11,
                ..new("straggler-11-gates", Trouble::Straggler, &usual)
            },
            Self {
                gates: 48,
                servers: 48,
                length_us: 10 * SECOND,
                ..new("straggler-48-gates", Trouble::Straggler, &usual)
            },
            Self {
                keys: 10_000,
                ..new("skew", Trouble::None, &[lookups(4_000.0, 0.5)])
            },
            new("burst", Trouble::Burst, &[lookups(4_000.0, 0.4)]),
            new(
                "mixed",
                Trouble::None,
                &[lookups(1_000.0, 0.3), reports(0.45)],
            ),
            new(
                "mixed-light",
                Trouble::None,
                &[lookups(1_000.0, 0.2), reports(0.3)],
            ),
            new("saturation-2x", Trouble::None, &[lookups(4_000.0, 2.0)]),
            new("saturation-5x", Trouble::None, &[lookups(4_000.0, 5.0)]),
            new("cold", cold(4, COLD_FACTOR, Sign::Restart, false), &usual),
            new("cold-mild", cold(4, 2.5, Sign::Restart, false), &usual),
            new(
                "cold-unseen",
                cold(4, COLD_FACTOR, Sign::Answers, false),
                &usual,
            ),
            new(
                "cold-all",
                cold(1, COLD_FACTOR, Sign::Restart, true),
                &usual,
            ),
            new("one-fails", Trouble::Fail { one_in: 12 }, &usual),
            new("all-fail", Trouble::Fail { one_in: 1 }, &usual),
        ]
    }

    /// Shortens the run, for tests.
    #[must_use]
    pub const fn seconds(mut self, n: u64) -> Self {
        self.length_us = n * SECOND;
        self
    }

    /// Returns what the targets can do, in requests of the first kind of work a second.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.servers as f64 * f64::from(self.slots) * 1e6 / self.work[0].mean_us
    }

    /// Returns the requests a second that can be done where all targets turn cold together: the
    /// offered ones while they are warm, one at a time and five times as slow while they are cold.
    pub(crate) fn borne_while_cold(&self) -> f64 {
        let load: f64 = self.work.iter().map(|w| w.load).sum();
        let cold = COLD_US as f64 / self.length_us as f64;
        let alone = self.servers as f64 * 1e6 / (self.work[0].mean_us * COLD_FACTOR);
        self.capacity() * load * (1.0 - cold) + alone * cold
    }

    /// Returns the factor on the load at `now`.
    pub(crate) fn factor(&self, now: u64) -> f64 {
        let burst = self.trouble == Trouble::Burst && now % (5 * SECOND) >= 9 * SECOND / 2;
        if burst { 4.0 } else { 1.0 }
    }

    /// Lays out the bad spells of each target.
    pub(crate) fn spells(&self, rng: &mut Pcg64Mcg) -> Vec<Vec<Spell>> {
        let mut all = vec![Vec::new(); self.servers];
        let end = self.length_us;
        match self.trouble {
            Trouble::None | Trouble::Burst => {}
            Trouble::Straggler => {
                let mut t = SECOND;
                while t < end {
                    let to = t + rng.random_range(200..=800) * 1_000;
                    let kind = SpellKind::Slow(10.0);
                    all[rng.random_range(0..self.servers)].push(Spell { from: t, to, kind });
                    t = to;
                }
            }
            Trouble::Cold {
                one_in,
                factor,
                sign,
                falls,
            } => {
                let from = end / 4;
                for spells in all.iter_mut().step_by(one_in) {
                    spells.push(Spell {
                        from: from + rng.random_range(0..SECOND / 2),
                        to: from + COLD_US,
                        kind: SpellKind::Cold {
                            factor,
                            sign,
                            falls,
                        },
                    });
                }
            }
            Trouble::Fail { one_in } => {
                let (from, to) = (end / 4, end * 3 / 4);
                for spells in all.iter_mut().step_by(one_in) {
                    let kind = SpellKind::Down;
                    spells.push(Spell { from, to, kind });
                }
            }
        }
        all
    }
}
