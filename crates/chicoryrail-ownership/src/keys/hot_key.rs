//! A key with more load than its owner bears.

use chicoryrail_core::Millis;

/// Time for which a key must have been busy before it moves: a burst of a few requests ends by itself.
const OVERLOAD_TIME_MIN: Millis = Millis(300);

/// Demand of a key, relative to the capacity of its owner, from which on the time of an overload counts.
const BUSY_RATIO: f64 = 0.5;

/// Time for which the load of a moved key must be low before the key counts as an ordinary one again.
const CALM_TIME_MIN: Millis = Millis(3_000);

/// Load, relative to that at the time of the move, below which a moved key is calm.
const CALM_RATIO: f64 = 0.5;

/// Key that has, or recently had, more load than its owner bears.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct HotKey {
    /// Since when the demand has been at least half of the owner's capacity.
    busy_since: Option<Millis>,
    /// Load of the key in usual slots that it keeps in use.
    demand: f64,
    /// Whether the demand exceeds the capacity of the owner.
    overloaded: bool,
    /// Demand when the key was assigned a server of its own, and since when it has been calm.
    dedicated: Option<(f64, Option<Millis>)>,
}

impl HotKey {
    /// Updates the demand, in usual slots, of a key whose owner has `capacity`.
    pub(crate) fn update(&mut self, now: Millis, demand: f64, capacity: f64) {
        self.demand = demand;
        self.overloaded = demand > capacity;
        if demand < capacity * BUSY_RATIO {
            self.busy_since = None;
        } else {
            self.busy_since.get_or_insert(now);
        }
        if let Some((initial, calm_since)) = &mut self.dedicated {
            if demand >= *initial * CALM_RATIO {
                *calm_since = None;
            } else {
                calm_since.get_or_insert(now);
            }
        }
    }

    /// Returns the load of the key, in usual slots that it keeps in use.
    pub(crate) const fn demand(&self) -> f64 {
        self.demand
    }

    /// Returns `true` if the key has a server of its own.
    pub(crate) const fn is_dedicated(&self) -> bool {
        self.dedicated.is_some()
    }

    /// Returns `true` if the key should be assigned a server of its own now.
    ///
    /// The observed demand is an average over the last second and follows a rush with a delay, so the time counts from
    /// when the key became busy.
    pub(crate) fn needs_server(&self, now: Millis) -> bool {
        let is_lasting = |since| now.since(since) >= OVERLOAD_TIME_MIN;
        self.overloaded && !self.is_dedicated() && self.busy_since.is_some_and(is_lasting)
    }

    /// Records that the key was assigned a server of its own.
    pub(crate) const fn dedicate(&mut self) {
        self.dedicated = Some((self.demand, None));
    }

    /// Returns `true` if the key has been calm for long enough to share its server again.
    pub(crate) fn is_over(&self, now: Millis) -> bool {
        let calm_since = self.dedicated.and_then(|(_, since)| since);
        calm_since.is_some_and(|since| now.since(since) >= CALM_TIME_MIN)
    }
}
