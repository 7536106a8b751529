//! The lengths of time that the state machines agree on.

use chicoryrail_core::Millis;

/// Lengths of validity, of waits and of the margin between two clocks.
///
/// One value serves a whole system: a holder that counts a shorter validity than others wait for is
/// safe, the opposite is not. Tests pass small numbers; programs use [`Timing::STANDARD`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Validity `T` of a holder after a confirmation.
    pub validity: Millis,
    /// Longest time between the first and the last promise that a newcomer counts together.
    pub promise: Millis,
    /// Length of a server's session.
    pub session: Millis,
    /// Time between two renewals of a session.
    pub renewal: Millis,
    /// Silence of a holder after which its deputy keeps sessions and routes valid. A session that
    /// was renewed a renewal before the holder fell silent has 400 ms left then.
    pub deputy: Millis,
    /// Length of validity of a gate's routes.
    pub route: Millis,
    /// Silence after which a process or a server is doubted.
    pub suspect: Millis,
    /// Silence after which a process counts as gone.
    pub gone: Millis,
    /// Largest difference of the speed of two clocks, in thousandths.
    pub drift: u64,
    /// Granularity of clocks and of scheduling.
    pub grain: Millis,
}

impl Timing {
    /// The values of `docs/DESIGN.md`.
    pub const STANDARD: Self = Self {
        validity: Millis(600),
        promise: Millis(300),
        session: Millis(700),
        renewal: Millis(150),
        deputy: Millis(250),
        route: Millis(700),
        suspect: Millis(400),
        gone: Millis(1_200),
        drift: 20,
        grain: Millis(10),
    };

    /// Returns the margin between two clocks over a length.
    #[must_use]
    pub const fn margin(&self, length: Millis) -> Millis {
        Millis(length.0 * self.drift / 1_000 + self.grain.0)
    }

    /// Returns how long a process may rely on a right of its own: the length less the margin.
    #[must_use]
    pub fn own(&self, length: Millis) -> Millis {
        length - self.margin(length)
    }

    /// Returns how long a process waits out a right of another one: the length plus the margin.
    #[must_use]
    pub fn others(&self, length: Millis) -> Millis {
        length + self.margin(length)
    }

    /// Returns how long a witness stays silent after its start.
    ///
    /// A newcomer counts promises together that lie at most `promise` apart, and the old holder may
    /// be valid for `validity` after the last of them. A witness that forgot its promise must not
    /// confirm the old holder again before both have run out; with a silence of `validity` alone it
    /// could, and the old holder would never lapse.
    #[must_use]
    pub fn silence(&self) -> Millis {
        self.others(self.validity + self.promise)
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self::STANDARD
    }
}
