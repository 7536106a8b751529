//! Network faults of a link.

use serde::Deserialize;
use serde::Serialize;

/// The faults of a link, which apply to all of its connections; the default is no fault.
///
/// *Up* is the direction from the caller to the upstream process, *down* the opposite one. Bytes sent in a direction
/// that is cut are kept and forwarded when the cut ends, as TCP retransmits packets that the network dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFault {
    /// Delay of each forwarded chunk in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Largest additional delay in milliseconds, chosen at random for each chunk.
    pub jitter_ms: u64,
    /// Nothing is forwarded up.
    pub cut_up: bool,
    /// Nothing is forwarded down.
    pub cut_down: bool,
    /// The port is closed, so that new connections are refused.
    pub closed: bool,
    /// Number of bytes of both directions together after which a connection is closed; `None` for no limit.
    pub reset_after: Option<u64>,
    /// A connection is closed when the first byte of a response arrives: the request has reached the upstream process,
    /// and its response is lost.
    pub lose_answers: bool,
    /// Bytes forwarded a second in each direction, rounded down to a multiple of 50 but at least 50; `None` for no
    /// limit.
    pub drip: Option<u64>,
}

impl LinkFault {
    /// Returns a fault that cuts both directions.
    #[must_use]
    pub fn cut() -> Self {
        Self {
            cut_up: true,
            cut_down: true,
            ..Self::default()
        }
    }

    /// Returns a fault that delays each chunk by `delay_ms` and up to `jitter_ms` more.
    #[must_use]
    pub fn delay(delay_ms: u64, jitter_ms: u64) -> Self {
        Self {
            delay_ms,
            jitter_ms,
            ..Self::default()
        }
    }

    /// Returns a fault that closes the port.
    #[must_use]
    pub fn closed() -> Self {
        Self {
            closed: true,
            ..Self::default()
        }
    }
}
