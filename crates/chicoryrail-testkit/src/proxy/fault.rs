//! Faults of a link.

use serde::Deserialize;
use serde::Serialize;

/// What a link does to its connections; the default passes everything on.
///
/// *Up* is the way from the caller to the upstream process, *down* the way back. A way that is cut
/// keeps its bytes until it heals, as TCP does over a network that drops packets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFault {
    /// Delay of each piece, each way, in milliseconds.
    pub delay_ms: u64,
    /// Up to so many milliseconds more, drawn for each piece.
    pub jitter_ms: u64,
    /// Nothing passes up.
    pub cut_up: bool,
    /// Nothing passes down.
    pub cut_down: bool,
    /// The port is closed: connections are refused.
    pub closed: bool,
    /// A connection ends after so many bytes of both ways together.
    pub reset_after: Option<u64>,
    /// A connection ends when the first byte of an answer would pass: the request has reached the
    /// upstream process, the answer is lost.
    pub lose_answers: bool,
    /// Bytes a second that pass each way.
    pub drip: Option<u64>,
}

impl LinkFault {
    /// Returns a link that passes nothing.
    #[must_use]
    pub fn cut() -> Self {
        Self {
            cut_up: true,
            cut_down: true,
            ..Self::default()
        }
    }

    /// Returns a link that delays each piece.
    #[must_use]
    pub fn delay(delay_ms: u64, jitter_ms: u64) -> Self {
        Self {
            delay_ms,
            jitter_ms,
            ..Self::default()
        }
    }

    /// Returns a link whose port is closed.
    #[must_use]
    pub fn closed() -> Self {
        Self {
            closed: true,
            ..Self::default()
        }
    }
}
