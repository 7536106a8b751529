//! Faults that a test switches on at a target.

use chicoryrail_core::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

use crate::timed::TimedFaults;

/// A fault of a target; the JSON body of `PUT /testkit/fault`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum TargetFault {
    /// Requests take longer.
    Slow {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
        /// Factor by which the service time is multiplied.
        factor: f64,
    },
    /// The server loses its caches and starts a new warm-up.
    Cold {
        /// Duration of the warm-up in milliseconds; [`crate::TargetOptions::warmup`] if absent.
        #[serde(default)]
        for_ms: Option<u64>,
    },
    /// The server announces that it is draining; it goes on serving requests.
    Leave,
    /// Responses say that the server is draining, but its entry in the store stays ready, as if it had lost the store.
    SayDraining,
    /// Grants and releases have no effect and get no response; their connections are closed when the fault ends.
    Deaf {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
    },
    /// Requests run and return status 500.
    Fail {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
        /// Fraction of the requests affected, 0 to 1.
        #[serde(default = "always")]
        share: f64,
    },
    /// Requests are refused before they run.
    Refuse {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
        /// Fraction of the requests affected, 0 to 1.
        #[serde(default = "always")]
        share: f64,
        /// Time in milliseconds for which a refusal asks the host to send nothing; `None` if it asks for nothing.
        #[serde(default)]
        backoff_ms: Option<u64>,
    },
    /// Responses advertise a rate limit that the server does not enforce.
    NameLimit {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
        /// Advertised limit in requests a second from all hosts together.
        rate: f64,
    },
    /// Responses lack the header by which a server confirms that it ran the request.
    Unmarked {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
    },
    /// A request that finds the queue full gets no response, and neither does any later one on its connection.
    Mute {
        /// Duration of the fault in milliseconds; a request that got no response within it never gets one.
        for_ms: u64,
    },
    /// The server ends if the declared bodies of the requests that it holds exceed its memory.
    Memory {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
        /// Memory in bytes.
        bytes: u64,
    },
    /// Connections are accepted, and requests read, only when the fault ends; running requests go on.
    StallReads {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
    },
    /// Responses are held back until the fault ends.
    Freeze {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
    },
    /// Responses are delayed.
    Late {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
        /// Fraction of the responses affected, 0 to 1.
        #[serde(default = "always")]
        share: f64,
        /// Delay of a response in milliseconds.
        delay_ms: u64,
    },
    /// The connection is closed within the body of a response.
    Cut {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
        /// Fraction of the responses affected, 0 to 1.
        #[serde(default = "always")]
        share: f64,
        /// Number of bytes of the body that are sent before the cut.
        after: u64,
    },
    /// Requests run, then their connection is closed without a response.
    LoseAnswers {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
        /// Fraction of the responses affected, 0 to 1.
        #[serde(default = "always")]
        share: f64,
    },
    /// A request gets the response of an earlier request.
    Crossed {
        /// Duration of the fault in milliseconds.
        for_ms: u64,
        /// Fraction of the responses affected, 0 to 1.
        #[serde(default = "always")]
        share: f64,
    },
}

/// A refusal by a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InjectedRefusal {
    /// Time for which the host is asked to send nothing; `None` if it is asked for nothing.
    pub(crate) backoff: Option<Millis>,
}

const fn always() -> f64 {
    1.0
}

/// The faults that apply to one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ResponseFaults {
    pub(crate) delay: Millis,
    /// Number of bytes of the body after which the connection is closed.
    pub(crate) cut_after: Option<u64>,
    pub(crate) lost: bool,
    pub(crate) crossed: bool,
    pub(crate) failed: bool,
    pub(crate) unmarked: bool,
}

/// The active faults.
#[derive(Debug)]
pub(crate) struct TargetFaults {
    timed: TimedFaults<TargetFault>,
    rng: Pcg64Mcg,
}

impl TargetFaults {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            timed: TimedFaults::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Switches a fault on; active faults stay on. The others are not kept here:
    /// [`TargetFault::Cold`], [`TargetFault::Leave`], [`TargetFault::SayDraining`] and [`TargetFault::StallReads`].
    pub(crate) fn add(&mut self, now: Millis, fault: TargetFault) {
        let for_ms = match &fault {
            TargetFault::Slow { for_ms, .. }
            | TargetFault::Freeze { for_ms }
            | TargetFault::Mute { for_ms }
            | TargetFault::Memory { for_ms, .. }
            | TargetFault::Deaf { for_ms }
            | TargetFault::NameLimit { for_ms, .. }
            | TargetFault::Unmarked { for_ms }
            | TargetFault::Fail { for_ms, .. }
            | TargetFault::Refuse { for_ms, .. }
            | TargetFault::Late { for_ms, .. }
            | TargetFault::Cut { for_ms, .. }
            | TargetFault::LoseAnswers { for_ms, .. }
            | TargetFault::Crossed { for_ms, .. } => *for_ms,
            TargetFault::Cold { .. }
            | TargetFault::Leave
            | TargetFault::SayDraining
            | TargetFault::StallReads { .. } => return,
        };
        self.timed.add(now + Millis(for_ms), fault);
    }

    /// Switches all faults off.
    pub(crate) fn clear(&mut self) {
        self.timed.clear();
    }

    /// Returns the product of the active factors of the service time.
    pub(crate) fn service_factor(&mut self, now: Millis) -> f64 {
        self.timed
            .active(now)
            .filter_map(|(_, f)| match f {
                TargetFault::Slow { factor, .. } => Some(*factor),
                _ => None,
            })
            .product()
    }

    /// Returns the rate limit that responses advertise, in requests a second.
    pub(crate) fn advertised_limit(&mut self, now: Millis) -> Option<f64> {
        self.timed.active(now).find_map(|(_, f)| match f {
            TargetFault::NameLimit { rate, .. } => Some(*rate),
            _ => None,
        })
    }

    /// Returns when the server accepts grants and releases again; `None` if it accepts them now.
    pub(crate) fn key_calls_dropped_until(&mut self, now: Millis) -> Option<Millis> {
        let mut active = self.timed.active(now);
        let dropped = active.find(|(_, f)| matches!(f, TargetFault::Deaf { .. }));
        dropped.map(|(ends_at, _)| *ends_at)
    }

    /// Returns the memory for the bodies of requests, in bytes; `None` without a limit.
    pub(crate) fn memory(&mut self, now: Millis) -> Option<u64> {
        self.timed.active(now).find_map(|(_, f)| match f {
            TargetFault::Memory { bytes, .. } => Some(*bytes),
            _ => None,
        })
    }

    /// Returns `true` if a request that can't be queued gets no response.
    pub(crate) fn is_mute(&mut self, now: Millis) -> bool {
        let mut active = self.timed.active(now);
        active.any(|(_, f)| matches!(f, TargetFault::Mute { .. }))
    }

    /// Determines at random whether a new request is refused, and how.
    pub(crate) fn sample_refusal(&mut self, now: Millis) -> Option<InjectedRefusal> {
        let (share, refusal) = self.timed.active(now).find_map(|(_, f)| match f {
            TargetFault::Refuse {
                share, backoff_ms, ..
            } => {
                let backoff = backoff_ms.map(Millis);
                Some((share.clamp(0.0, 1.0), InjectedRefusal { backoff }))
            }
            _ => None,
        })?;
        self.rng.random_bool(share).then_some(refusal)
    }

    /// Determines the faults that apply to a response, at random where a fault affects only a fraction of them.
    pub(crate) fn sample(&mut self, now: Millis) -> ResponseFaults {
        let mut faults = ResponseFaults::default();
        for (ends_at, fault) in self.timed.active(now) {
            let mut sample_hit = |share: &f64| self.rng.random_bool(share.clamp(0.0, 1.0));
            match fault {
                TargetFault::Freeze { .. } => faults.delay = faults.delay.max(ends_at.since(now)),
                TargetFault::Late {
                    share, delay_ms, ..
                } if sample_hit(share) => faults.delay = faults.delay.max(Millis(*delay_ms)),
                TargetFault::Cut { share, after, .. } if sample_hit(share) => {
                    faults.cut_after = Some(*after);
                }
                TargetFault::LoseAnswers { share, .. } if sample_hit(share) => faults.lost = true,
                TargetFault::Crossed { share, .. } if sample_hit(share) => faults.crossed = true,
                TargetFault::Fail { share, .. } if sample_hit(share) => faults.failed = true,
                TargetFault::Unmarked { .. } => faults.unmarked = true,
                _ => {}
            }
        }
        faults
    }
}
