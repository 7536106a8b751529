//! Applies an operator's rules for traffic from the store.

use chicoryrail_core::ServiceName;
use chicoryrail_ownership::store_key::TRAFFIC_RULES;
use chicoryrail_ownership::store_key::TRAFFIC_WATCHES;
use chicoryrail_policy::TrafficRule;

use crate::state::Router;

impl Router {
    /// Applies the entry with this key if it is a rule, or exists while an operator watches a service.
    pub(super) fn apply_traffic(&self, key: &str) {
        if let Some(id) = key.strip_prefix(TRAFFIC_RULES) {
            self.apply_traffic_rule(key, id);
        }
        if let Some(service) = key.strip_prefix(TRAFFIC_WATCHES) {
            let revision = self.store_view.borrow().own(key).map(|i| i.revision);
            let service = ServiceName::new(service);
            self.traffic.set_watched(&service, revision);
        }
    }

    /// Puts the rule of an entry into force, or ends it if the entry is gone. An entry that can't be decoded is logged and
    /// ignored, and ends a former rule of that key.
    fn apply_traffic_rule(&self, key: &str, id: &str) {
        let view = self.store_view.borrow();
        let Some(item) = view.own(key) else {
            if self.traffic.remove(id) {
                log::info!(rule = id, change = "released"; "traffic_rule");
            }
            return;
        };
        match serde_json::from_slice::<TrafficRule>(&item.value) {
            Ok(rule) => {
                log::info!(rule = id, change = "in_force", effect:% = rule,
                    revision = item.revision; "traffic_rule");
                self.traffic.set(id, rule, self.traffic_start());
            }
            Err(e) => {
                self.traffic.remove(id);
                self.counters.bad_entries.inc();
                log::warn!(entry = key, field = "rule", reason:% = e; "bad_entry");
            }
        }
    }

    /// Returns where this host begins to count the requests of a limit. Hosts that all began at the same point would
    /// refuse their first requests together.
    fn traffic_start(&self) -> f64 {
        (self.process.instance_id % 1_000) as f64 / 1_000.0
    }
}
