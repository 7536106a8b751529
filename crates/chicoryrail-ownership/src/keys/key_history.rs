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

/// Demand of a key, relative to the capacity of its owner, from which on the key is observed and, if it is
/// the owner's busiest, left there until it turns out whether it gets a server of its own.
const OBSERVED_RATIO: f64 = 0.25;

/// Fraction of the servers that may be reserved for one key each. Beyond it the service as a whole is overloaded, and
/// reserved servers would be missed.
const DEDICATED_SHARE_MAX: f64 = 0.125;

/// Least time from a change to one that moves overloaded keys: several become busy within a second when the load of all
/// keys rises, and each change is written to the store and sent to every host.
const HOT_KEY_INTERVAL: Millis = Millis(200);

/// Time after its warm-up in which a server's weight grows to that of a warm one.
const RAMP_TIME: Millis = Millis(2_000);

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
    /// When each server was last seen to warm up, and its weight then.
    warmed_up: BTreeMap<Life, (Millis, f64)>,
    /// Ranges that moved, and when.
    moved: Vec<(KeyRange, Millis)>,
    /// When the last plan was adopted.
    adopted_at: Option<Millis>,
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

    /// Returns the weight of a server that has `full` weight when it is warm, and `warming_up` for now if it is warming
    /// up. It grows from one to the other after the warm-up: if the fair shares of all other servers fell at once as
    /// those of a data centre return, a third of all keys would move in one plan.
    pub fn ramp_weight(
        &mut self,
        now: Millis,
        life: &Life,
        full: f64,
        warming_up: Option<f64>,
    ) -> f64 {
        if let Some(weight) = warming_up {
            let weight = weight.min(full);
            self.warmed_up.insert(life.clone(), (now, weight));
            return weight;
        }
        let Some((at, weight)) = self.warmed_up.get(life).copied() else {
            return full;
        };
        let progress = now.since(at).0 as f64 / RAMP_TIME.0 as f64;
        if progress >= 1.0 {
            self.warmed_up.remove(life);
        }
        weight + (full - weight) * progress.min(1.0)
    }

    /// Forgets servers for which `is_known` returns `false`.
    pub fn retain_servers(&mut self, is_known: impl Fn(&Life) -> bool) {
        self.slowness.retain(|life, _| is_known(life));
        self.warmed_up.retain(|life, _| is_known(life));
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
        self.adopted_at = Some(now);
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

    /// Returns the keys that have no server of their own and are the busiest observed one of their owner. Others may
    /// move: several busy keys can overload a server of which none does so alone.
    pub(crate) fn busiest_keys(&self, record: &KeyRecord, servers: usize) -> Vec<u16> {
        let dedicated = self.dedicated_keys(servers);
        let mut busiest: BTreeMap<&Life, (f64, u16)> = BTreeMap::new();
        for (key, hot) in &self.hot_keys {
            let is_dedicated = dedicated.iter().any(|(d, _)| d == key);
            let Some(owner) = record.owner(*key).filter(|_| !is_dedicated) else {
                continue;
            };
            let known = busiest.entry(owner).or_insert((0.0, *key));
            if hot.demand() > known.0 {
                *known = (hot.demand(), *key);
            }
        }
        busiest.into_values().map(|(_, key)| key).collect()
    }

    /// Returns the keys whose server is to be no longer reserved for them.
    pub(crate) fn calm_keys(&self) -> Vec<u16> {
        let calm = self
            .hot_keys
            .iter()
            .filter(|(_, hot)| hot.is_over(self.now));
        calm.map(|(key, _)| *key).collect()
    }

    /// Returns `true` if a key is to get a server of its own, or no longer needs it, and the last change is not too
    /// recent.
    pub(crate) fn has_hot_key_change(&self, servers: usize) -> bool {
        let is_recent = |at| self.now.since(at) < HOT_KEY_INTERVAL;
        if self.adopted_at.is_some_and(is_recent) {
            return false;
        }
        let mut hot = self.hot_keys.values();
        hot.any(|hot| hot.is_over(self.now))
            || self
                .dedicated_keys(servers)
                .iter()
                .any(|(_, has_server)| !has_server)
    }
}
