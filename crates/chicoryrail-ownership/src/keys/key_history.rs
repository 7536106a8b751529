//! What the leader remembers between two plans of a service's keys.

use std::collections::BTreeMap;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::KeyCandidate;
use crate::keys::KeyLoad;
use crate::keys::KeyRange;
use crate::keys::KeyRecord;
use crate::keys::MoveReason;
use crate::keys::hot_key::HotKey;
use crate::keys::smoothed_slowness::SmoothedSlowness;

/// Demand of a key, relative to the capacity of its owner, from which on the key is observed and left with
/// its owner until it turns out whether it gets a server of its own.
const OBSERVED_RATIO: f64 = 0.25;

/// Fraction of the servers that may be reserved for one key each. Beyond it the service as a whole is overloaded, and
/// reserved servers would be missed.
const DEDICATED_SHARE_MAX: f64 = 0.125;

/// Time after a relief in which smaller excesses are relieved as well.
const FOLLOW_UP_TIME: Millis = Millis(2_000);

/// Time for which a range that moved stays where it is, unless its server becomes far overloaded. Each move delays the
/// requests for its keys by up to 0.6 s.
const RESIDENCE_TIME: Millis = Millis(6_000);

/// State of one term between plans: which keys are overloaded. It is lost with the leader; the next one observes the
/// load anew and finds the keys where the record has them.
#[derive(Clone, Debug, Default)]
pub struct KeyHistory {
    now: Millis,
    hot_keys: BTreeMap<u16, HotKey>,
    /// Smoothed slowness of each server.
    slowness: BTreeMap<Life, SmoothedSlowness>,
    /// Ranges that moved, and when.
    moved: Vec<(KeyRange, Millis)>,
    /// When the first of the last series of reliefs was planned.
    relieved_at: Option<Millis>,
}

impl KeyHistory {
    /// Observes the load at `now`, before a plan is computed.
    pub fn observe(
        &mut self,
        now: Millis,
        record: &KeyRecord,
        candidates: &[KeyCandidate],
        load: &KeyLoad,
    ) {
        self.now = now;
        let weights: BTreeMap<&Life, f64> =
            candidates.iter().map(|c| (&c.life, c.weight)).collect();
        // A key without an owner is compared with the fastest server, to which it would go.
        let highest = weights.values().copied().fold(0.0, f64::max);
        let lowest = weights.values().copied().fold(highest, f64::min);
        for (key, demand) in load.busy_keys(lowest * OBSERVED_RATIO) {
            let weight = record.owner(key).and_then(|life| weights.get(life));
            if demand >= weight.copied().unwrap_or(highest) * OBSERVED_RATIO {
                self.hot_keys.entry(key).or_default();
            }
        }
        self.hot_keys.retain(|key, hot| {
            let weight = record.owner(*key).and_then(|life| weights.get(life));
            let capacity = weight.copied().unwrap_or(highest);
            let demand = load.key_demand(*key);
            hot.update(now, demand, capacity);
            hot.is_dedicated() || demand >= capacity * OBSERVED_RATIO
        });
    }

    /// Returns a server's slowness without the short-term variation of `observed`: service time relative to a usual
    /// server.
    pub fn smooth_slowness(&mut self, now: Millis, life: &Life, observed: f64) -> f64 {
        let known = self.slowness.entry(life.clone());
        let known = known.or_insert_with(|| SmoothedSlowness::new(now, observed));
        known.observe(now, observed)
    }

    /// Forgets servers for which `is_known` returns `false`.
    pub fn retain_servers(&mut self, is_known: impl Fn(&Life) -> bool) {
        self.slowness.retain(|life, _| is_known(life));
    }

    /// Returns the ranges that moved in the last few seconds.
    pub(crate) fn recently_moved(&self) -> Vec<KeyRange> {
        let is_recent = |at| self.now.since(at) < RESIDENCE_TIME;
        let recent = self.moved.iter().filter(|(_, at)| is_recent(*at));
        recent.map(|(range, _)| *range).collect()
    }

    /// Returns `true` if a server was relieved a moment ago. The observed load of a range follows a rush with a delay,
    /// so more servers may turn out to be overloaded by the same rush.
    pub(crate) fn follows_relief(&self) -> bool {
        let is_recent = |at| self.now.since(at) < FOLLOW_UP_TIME;
        self.relieved_at.is_some_and(is_recent)
    }

    /// Records that a plan for this many servers was adopted, which moves the ranges `moved`. It gives a server to each
    /// key that needs one.
    pub fn adopt(&mut self, servers: usize, reason: MoveReason, moved: &[KeyRange]) {
        let now = self.now;
        self.moved.retain(|(_, at)| now.since(*at) < RESIDENCE_TIME);
        self.moved.extend(moved.iter().map(|range| (*range, now)));
        if reason == MoveReason::Relief && !self.follows_relief() {
            self.relieved_at = Some(now);
        }
        let dedicated = self.dedicated_keys(servers);
        self.hot_keys.retain(|_, hot| !hot.is_over(now));
        for (key, _) in dedicated {
            if let Some(hot) = self
                .hot_keys
                .get_mut(&key)
                .filter(|hot| !hot.is_dedicated())
            {
                hot.dedicate();
            }
        }
    }

    /// Returns the keys that should have a server each, with whether they have it by an adopted plan: these first,
    /// then the busiest.
    pub(crate) fn dedicated_keys(&self, servers: usize) -> Vec<(u16, bool)> {
        let wanted = |hot: &HotKey| {
            !hot.is_over(self.now) && (hot.is_dedicated() || hot.needs_server(self.now))
        };
        let mut keys: Vec<_> = self
            .hot_keys
            .iter()
            .filter(|(_, hot)| wanted(hot))
            .collect();
        keys.sort_by(|(_, a), (_, b)| {
            let order = b.is_dedicated().cmp(&a.is_dedicated());
            order.then(b.demand().total_cmp(&a.demand()))
        });
        keys.truncate((servers as f64 * DEDICATED_SHARE_MAX) as usize);
        let keys = keys
            .into_iter()
            .map(|(key, hot)| (*key, hot.is_dedicated()));
        keys.collect()
    }

    /// Returns the busy keys that have no server of their own.
    pub(crate) fn busy_keys(&self, servers: usize) -> Vec<u16> {
        let dedicated = self.dedicated_keys(servers);
        let busy = self
            .hot_keys
            .iter()
            .filter(|(_, hot)| !hot.is_over(self.now));
        let busy = busy.map(|(key, _)| *key);
        busy.filter(|key| dedicated.iter().all(|(d, _)| d != key))
            .collect()
    }

    /// Returns the keys whose server is to be no longer reserved for them.
    pub(crate) fn calm_keys(&self) -> Vec<u16> {
        let calm = self
            .hot_keys
            .iter()
            .filter(|(_, hot)| hot.is_over(self.now));
        calm.map(|(key, _)| *key).collect()
    }

    /// Returns `true` if a key is to get a server of its own, or no longer needs it.
    pub(crate) fn has_hot_key_change(&self, servers: usize) -> bool {
        let mut hot = self.hot_keys.values();
        hot.any(|hot| hot.is_over(self.now))
            || self
                .dedicated_keys(servers)
                .iter()
                .any(|(_, has_server)| !has_server)
    }
}
