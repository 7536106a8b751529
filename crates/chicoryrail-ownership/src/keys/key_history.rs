//! What the leader remembers between two plans of a service's keys.

use std::collections::BTreeMap;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::KeyCandidate;
use crate::keys::KeyLoad;
use crate::keys::KeyRecord;
use crate::keys::hot_key::HotKey;

/// Demand of a key, relative to the capacity of its owner, from which on the key is observed and left with
/// its owner until it turns out whether it gets a server of its own.
const OBSERVED_RATIO: f64 = 0.25;

/// Fraction of the servers that may be reserved for one key each. Beyond it the service as a whole is overloaded, and
/// reserved servers would be missed.
const DEDICATED_SHARE_MAX: f64 = 0.125;

/// State of one term between plans: which keys are overloaded. It is lost with the leader; the next one observes the
/// load anew and finds the keys where the record has them.
#[derive(Clone, Debug, Default)]
pub struct KeyHistory {
    now: Millis,
    hot_keys: BTreeMap<u16, HotKey>,
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

    /// Records that a plan for this many servers was adopted. It gives a server to each key that needs one.
    pub fn adopt(&mut self, servers: usize) {
        let now = self.now;
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
