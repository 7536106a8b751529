//! Stretches of time in which a fake target behaves badly.

use crate::policy::Sign;

/// A stretch of time in which a fake target behaves badly; times in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spell {
    pub(crate) from: u64,
    pub(crate) to: u64,
    pub(crate) kind: SpellKind,
}

/// How a fake target behaves badly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SpellKind {
    /// Work takes this many times as long.
    Slow(f64),
    /// Cold: work takes this many times as long, and one request in flight is all that it bears.
    Cold {
        /// How much longer work takes.
        factor: f64,
        /// What shows it.
        sign: Sign,
        /// Whether more than that makes it warm up anew.
        falls: bool,
    },
    /// Half of the requests are refused at once, the others run and their answers are cut.
    Down,
}

impl SpellKind {
    pub(crate) const fn factor(self) -> f64 {
        match self {
            Self::Slow(f) | Self::Cold { factor: f, .. } => f,
            Self::Down => 1.0,
        }
    }
}
