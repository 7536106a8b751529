//! Faults of the store.

use std::net::IpAddr;

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
pub enum StoreFault {
    /// Calls are not done and get no answer: the connection is closed, or status 503 is given.
    Down {
        /// Length of the fault in milliseconds.
        for_ms: u64,
        /// Share of the calls concerned.
        #[serde(default = "always")]
        share: f64,
        /// Whether status 503 is given in place of a closed connection.
        #[serde(default)]
        polite: bool,
        /// Callers concerned; none: all of them.
        #[serde(default)]
        hosts: Vec<IpAddr>,
    },
    /// Connections go silent for good: calls under way and those that come get no answer and no end.
    Silent {
        /// Length of the fault in milliseconds.
        for_ms: u64,
    },
    /// Calls are done after a delay.
    Slow {
        /// Length of the fault in milliseconds.
        for_ms: u64,
        /// Share of the calls concerned.
        #[serde(default = "always")]
        share: f64,
        /// Delay of each call in milliseconds.
        delay_ms: u64,
    },
    /// Calls are done, then the connection is closed without an answer.
    LoseAnswers {
        /// Length of the fault in milliseconds.
        for_ms: u64,
        /// Share of the calls concerned.
        #[serde(default = "always")]
        share: f64,
    },
}

const fn always() -> f64 {
    1.0
}

/// What befalls one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Fate {
    /// Wait before the call is done.
    pub(crate) delay: Millis,
    /// The call is not done; the flag tells whether status 503 is given.
    pub(crate) down: Option<bool>,
    /// The call is done and its answer lost.
    pub(crate) lost: bool,
    /// The connection is silent from now on.
    pub(crate) silent: bool,
}

/// The faults that are on.
#[derive(Debug)]
pub(crate) struct StoreFaults {
    on: Timed<StoreFault>,
    /// Silences so far; what was under way when one began stays silent.
    pub(crate) silences: u64,
    rng: Pcg64Mcg,
}

impl StoreFaults {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            on: Timed::default(),
            silences: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Switches a fault on, beside those that are on.
    pub(crate) fn add(&mut self, now: Millis, fault: StoreFault) {
        if matches!(fault, StoreFault::Silent { .. }) {
            self.silences += 1;
        }
        let (StoreFault::Down { for_ms, .. }
        | StoreFault::Silent { for_ms }
        | StoreFault::Slow { for_ms, .. }
        | StoreFault::LoseAnswers { for_ms, .. }) = fault;
        self.on.add(now + Millis(for_ms), fault);
    }

    /// Switches all faults off.
    pub(crate) fn clear(&mut self) {
        self.on.clear();
    }

    /// Draws what befalls the next call.
    pub(crate) fn draw(&mut self, now: Millis, caller: Option<IpAddr>) -> Fate {
        let mut fate = Fate::default();
        for (_, fault) in self.on.at(now) {
            let mut hit = |share: &f64| self.rng.random_bool(share.clamp(0.0, 1.0));
            match fault {
                StoreFault::Down {
                    share,
                    polite,
                    hosts,
                    ..
                } if concerns(hosts, caller) && hit(share) => fate.down = Some(*polite),
                StoreFault::Silent { .. } => fate.silent = true,
                StoreFault::Slow {
                    share, delay_ms, ..
                } if hit(share) => fate.delay = fate.delay + Millis(*delay_ms),
                StoreFault::LoseAnswers { share, .. } if hit(share) => fate.lost = true,
                _ => {}
            }
        }
        fate
    }
}

/// Tells whether a fault for some hosts, or for all where none is named, strikes a caller.
fn concerns(hosts: &[IpAddr], caller: Option<IpAddr>) -> bool {
    hosts.is_empty() || caller.is_some_and(|c| hosts.contains(&c))
}
