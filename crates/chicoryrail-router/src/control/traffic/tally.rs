//! Counts of a service's requests, read from the metrics.

use std::collections::BTreeMap;

use chicoryrail_core::ServiceName;
use prometheus::core::Collector;
use prometheus::proto::Metric;

use crate::state::Counters;

/// Counts of a service's requests at this host since its start.
///
/// They come from the metrics, which are counted anyway: a request costs nothing more while an operator watches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Tally {
    /// Requests that ended.
    pub(super) requests: u64,
    /// Refused requests by cause.
    pub(super) causes: BTreeMap<String, u64>,
    /// Refused requests by kind of route.
    pub(super) kinds: BTreeMap<String, u64>,
}

impl Tally {
    /// Reads the counts of a service.
    pub(super) fn read(counters: &Counters, service: &ServiceName) -> Self {
        let mut tally = Self::default();
        for metric in of_service(&counters.requests, service) {
            tally.requests += metric.get_counter().get_value() as u64;
        }
        for metric in of_service(&counters.refusals, service) {
            let cause = label(&metric, "cause").to_owned();
            *tally.causes.entry(cause).or_default() += metric.get_counter().get_value() as u64;
        }
        for metric in of_service(&counters.request_time, service) {
            if label(&metric, "outcome") == "refused" {
                let kind = label(&metric, "kind").to_owned();
                *tally.kinds.entry(kind).or_default() += metric.get_histogram().get_sample_count();
            }
        }
        tally
    }

    /// Returns what was counted since `before`, without what did not change.
    pub(super) fn since(&self, before: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(before.requests),
            causes: difference(&self.causes, &before.causes),
            kinds: difference(&self.kinds, &before.kinds),
        }
    }
}

fn difference(
    now: &BTreeMap<String, u64>,
    before: &BTreeMap<String, u64>,
) -> BTreeMap<String, u64> {
    let counted = now.iter().map(|(name, count)| {
        let former = before.get(name).copied().unwrap_or_default();
        (name.clone(), count.saturating_sub(former))
    });
    counted.filter(|(_, count)| *count > 0).collect()
}

fn of_service(family: &impl Collector, service: &ServiceName) -> impl Iterator<Item = Metric> {
    let families = family.collect().into_iter();
    let metrics = families.flat_map(|mut family| family.take_metric());
    metrics.filter(move |m| label(m, "service") == service.as_str())
}

fn label<'a>(metric: &'a Metric, name: &str) -> &'a str {
    let labels = metric.get_label().iter();
    let mut named = labels.filter(|l| l.name() == name);
    named.next().map_or("", |l| l.value())
}
