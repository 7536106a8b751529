//! Faults that a test switches on at the store.

use std::net::IpAddr;

use chicoryrail_core::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

use crate::timed::TimedFaults;

/// A fault of the store; the JSON body of `PUT /testkit/fault`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum StoreFault {
    /// Calls are not executed; the connection is closed without a response, or status 503 is returned.
    Down {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
        /// Fraction of the calls affected, 0 to 1.
        #[serde(default = "always")]
        share: f64,
        /// Whether status 503 is returned instead of closing the connection.
        #[serde(default)]
        polite: bool,
        /// Addresses of the hosts affected; all hosts if empty.
        #[serde(default)]
        hosts: Vec<IpAddr>,
    },
    /// Calls in flight and calls that arrive during the fault hang for ever: they get no response, and their
    /// connection stays open.
    Silent {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
    },
    /// Calls are executed after a delay.
    Slow {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
        /// Fraction of the calls affected, 0 to 1.
        #[serde(default = "always")]
        share: f64,
        /// Delay of each call in milliseconds.
        delay_ms: u64,
    },
    /// Calls are executed, then the connection is closed without a response.
    LoseAnswers {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
        /// Fraction of the calls affected, 0 to 1.
        #[serde(default = "always")]
        share: f64,
    },
}

const fn always() -> f64 {
    1.0
}

/// The faults that apply to one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CallFaults {
    /// Delay before the call is executed.
    pub(crate) delay: Millis,
    /// How the call is rejected without being executed: `Some(true)` returns status 503, `Some(false)` closes the
    /// connection. `None` executes it.
    pub(crate) down: Option<bool>,
    /// The call is executed and its response is lost.
    pub(crate) lost: bool,
    /// The call never gets a response.
    pub(crate) silent: bool,
}

/// The active faults.
#[derive(Debug)]
pub(crate) struct StoreFaults {
    timed: TimedFaults<StoreFault>,
    /// Number of [`StoreFault::Silent`] faults so far. A call compares it before and after its execution: if it has
    /// changed, a fault began meanwhile and the call gets no response.
    pub(crate) silence_count: u64,
    rng: Pcg64Mcg,
}

impl StoreFaults {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            timed: TimedFaults::default(),
            silence_count: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Switches a fault on; active faults stay on.
    pub(crate) fn add(&mut self, now: Millis, fault: StoreFault) {
        if matches!(fault, StoreFault::Silent { .. }) {
            self.silence_count += 1;
        }
        let (StoreFault::Down { for_ms, .. }
        | StoreFault::Silent { for_ms }
        | StoreFault::Slow { for_ms, .. }
        | StoreFault::LoseAnswers { for_ms, .. }) = fault;
        self.timed.add(now + Millis(for_ms), fault);
    }

    /// Switches all faults off.
    pub(crate) fn clear(&mut self) {
        self.timed.clear();
    }

    /// Determines the faults that apply to a new call, at random where a fault affects only a fraction of the calls.
    pub(crate) fn sample(&mut self, now: Millis, peer: Option<IpAddr>) -> CallFaults {
        let mut faults = CallFaults::default();
        for (_, fault) in self.timed.active(now) {
            let mut sample_hit = |share: &f64| self.rng.random_bool(share.clamp(0.0, 1.0));
            match fault {
                StoreFault::Down {
                    share,
                    polite,
                    hosts,
                    ..
                } if applies_to(hosts, peer) && sample_hit(share) => faults.down = Some(*polite),
                StoreFault::Silent { .. } => faults.silent = true,
                StoreFault::Slow {
                    share, delay_ms, ..
                } if sample_hit(share) => faults.delay = faults.delay + Millis(*delay_ms),
                StoreFault::LoseAnswers { share, .. } if sample_hit(share) => faults.lost = true,
                _ => {}
            }
        }
        faults
    }
}

/// Returns `true` if a fault limited to `hosts` applies to a call from `peer`; an empty list applies to every call.
fn applies_to(hosts: &[IpAddr], peer: Option<IpAddr>) -> bool {
    hosts.is_empty() || peer.is_some_and(|p| hosts.contains(&p))
}
