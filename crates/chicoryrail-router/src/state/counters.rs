//! Prometheus metrics of the process.

use std::cell::RefCell;
use std::collections::BTreeSet;

use chicoryrail_core::OrganisationName;
use chicoryrail_core::ServiceName;
use chicoryrail_policy::CallerEvents;
use chicoryrail_runtime::Metrics;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;

/// Organisations with a label value of their own in a metric; all others share `other`, which bounds the number of
/// time series.
const ORGANISATION_LABELS_MAX: usize = 200;
const OTHER_LABEL: &str = "other";

/// The counters, gauges and histograms that the process exports.
#[derive(Debug)]
pub(crate) struct Counters {
    /// Ended requests by service and outcome.
    pub(crate) requests: IntCounterVec,
    /// Requests that this host refused, by service and cause.
    pub(crate) refusals: IntCounterVec,
    /// Uploads that ended without a server's response, by service and cause.
    pub(crate) uploads_refused: IntCounterVec,
    /// Bytes held of the memory for bodies.
    pub(crate) held_bytes: IntGauge,
    /// Attempts at servers by service and result.
    pub(crate) sends: IntCounterVec,
    /// Sends to servers that are warming up by service and by who chose the server.
    pub(crate) warmup_sends: IntCounterVec,
    /// Sends of routes that tolerate waiting without a response, by service and end.
    pub(crate) unanswered: IntCounterVec,
    /// Changes of the number of requests that silent servers are given at once, by service and direction.
    pub(crate) slot_limit_changes: IntCounterVec,
    /// Requests at servers that this host learned of when it began to schedule for them, by service.
    pub(crate) adopted: IntCounterVec,
    /// Limits on bytes that this host learned from servers that ended under load, by service.
    pub(crate) byte_limits: IntCounterVec,
    /// Requests that other hosts were asked to pass on, by service and end.
    pub(crate) forwards: IntCounterVec,
    /// Requests that this host was asked to pass on, by service and end.
    pub(crate) forwarded: IntCounterVec,
    /// Sends of requests' bodies by end.
    pub(crate) body_sends: IntCounterVec,
    /// Calls to the store by kind and result.
    pub(crate) store_calls: IntCounterVec,
    /// Calls that grant or release keys by kind and result.
    pub(crate) key_calls: IntCounterVec,
    /// Keys that plans of the leader moved, by service and reason.
    pub(crate) moved_keys: IntCounterVec,
    /// Times that the process did not run for so long that it is logged.
    pub(crate) pauses: IntCounter,
    /// Sum of these times, in milliseconds.
    pub(crate) paused_time: IntCounter,
    /// Store entries that could not be decoded.
    pub(crate) bad_entries: IntCounter,
    /// Unknown values in configurations that came into force.
    pub(crate) invalid_values: IntCounter,
    /// Time from a request's arrival to its response, by service, kind and outcome.
    pub(crate) request_time: HistogramVec,
    /// Time that requests waited for a server, by service.
    pub(crate) wait_time: HistogramVec,
    /// Duration of calls to the store, by kind.
    pub(crate) store_time: HistogramVec,
    /// Duration of calls that grant or release keys, by kind.
    pub(crate) key_time: HistogramVec,
    /// Requests in progress.
    pub(crate) serving: IntGauge,
    /// Version of the configuration in force.
    pub(crate) config: IntGauge,
    /// Requests under which servers ended and that are not blocked.
    pub(crate) suspected: IntGauge,
    /// Requests that end each server that runs them.
    pub(crate) blocked: IntGauge,
    /// 1 while this host leads, else 0.
    pub(crate) leading: IntGauge,
    /// Time since the configuration was verified to be current, in milliseconds; -1 if it never was.
    pub(crate) config_age: IntGauge,
    /// Time from a watching host's read of the configuration in force until this host had applied it, in milliseconds.
    pub(crate) config_delay: IntGauge,
    /// Decisions of this host as a scheduler about callers that have time to wait or to return, by service and event.
    caller_events: IntCounterVec,
    /// Requests refused because their organisation exceeded its rate limit, by organisation.
    over_quota: IntCounterVec,
    /// Requests refused by an operator's rule, by service and rule.
    pub(crate) traffic_limited: IntCounterVec,
    /// Organisations with a label value of their own in `over_quota`.
    organisations: RefCell<BTreeSet<OrganisationName>>,
}

impl Counters {
    /// Creates the metrics and registers them in `metrics`.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        Self {
            requests: metrics.counter_family(
                "requests_total",
                "Requests that ended, by service and outcome",
                &["service", "outcome"],
            ),
            refusals: metrics.counter_family(
                "refusals_total",
                "Requests that this host refused, by service and cause",
                &["service", "cause"],
            ),
            uploads_refused: metrics.counter_family(
                "uploads_refused_total",
                "Uploads that ended without a server's response, by service and cause",
                &["service", "cause"],
            ),
            held_bytes: metrics.gauge(
                "held_bytes",
                "Bytes held for bodies of uploads, and for responses beside them",
            ),
            sends: metrics.counter_family(
                "sends_total",
                "Attempts at servers, by service and result",
                &["service", "end"],
            ),
            warmup_sends: metrics.counter_family(
                "warmup_sends_total",
                "Sends to servers that are warming up, by service and who chose the server",
                &["service", "chosen_by"],
            ),
            unanswered: metrics.counter_family(
                "unanswered_total",
                "Sends of routes that tolerate waiting without a response, by service and end",
                &["service", "end"],
            ),
            slot_limit_changes: metrics.counter_family(
                "slot_limit_changes_total",
                "Changes of the number of requests that silent servers are given at once",
                &["service", "change"],
            ),
            adopted: metrics.counter_family(
                "adopted_total",
                "Requests at servers that this host learned of when it began to schedule for them",
                &["service"],
            ),
            byte_limits: metrics.counter_family(
                "byte_limits_total",
                "Limits on bytes that this host learned from servers that ended under load",
                &["service"],
            ),
            forwards: metrics.counter_family(
                "forwards_total",
                "Requests that other hosts were asked to pass on, by service and end",
                &["service", "end"],
            ),
            forwarded: metrics.counter_family(
                "forwarded_total",
                "Requests that this host was asked to pass on, by service and end",
                &["service", "end"],
            ),
            body_sends: metrics.counter_family(
                "body_sends_total",
                "Sends of requests' bodies to servers and other hosts, by end",
                &["end"],
            ),
            store_calls: metrics.counter_family(
                "store_calls_total",
                "Calls to the store, by kind and result",
                &["call", "result"],
            ),
            key_calls: metrics.counter_family(
                "key_calls_total",
                "Calls that grant or release keys, by kind and result",
                &["call", "result"],
            ),
            moved_keys: metrics.counter_family(
                "moved_keys_total",
                "Keys that plans of the leader moved to another server, by service and reason",
                &["service", "reason"],
            ),
            pauses: metrics.counter(
                "pauses_total",
                "Times that the process did not run for more than 300 ms",
            ),
            paused_time: metrics.counter("paused_ms_total", "Sum of these times, in milliseconds"),
            bad_entries: metrics.counter(
                "bad_entries_total",
                "Store entries that could not be decoded",
            ),
            invalid_values: metrics.counter(
                "config_unknown_words_total",
                "Unknown values in configurations in force, each counted once per version",
            ),
            request_time: metrics.histogram_family(
                "request_seconds",
                "Time from arrival to response, by service, kind (read, download, order), outcome",
                &["service", "kind", "outcome"],
            ),
            wait_time: metrics.histogram_family(
                "wait_seconds",
                "Time that requests waited for a server, by service",
                &["service"],
            ),
            store_time: metrics.histogram_family(
                "store_seconds",
                "Duration of calls to the store, by kind",
                &["call"],
            ),
            key_time: metrics.histogram_family(
                "key_seconds",
                "Duration of calls that grant or release keys, by kind",
                &["call"],
            ),
            serving: metrics.gauge("serving", "Requests in progress"),
            config: metrics.gauge("config_version", "Version of the configuration in force"),
            suspected: metrics.gauge(
                "requests_suspected",
                "Requests under which servers ended and that are not blocked",
            ),
            blocked: metrics.gauge(
                "requests_blocked",
                "Requests that end each server that runs them",
            ),
            leading: metrics.gauge("leading", "1 while this host leads"),
            config_age: metrics.gauge(
                "config_age_ms",
                "Time since the configuration was verified, in milliseconds; -1 if it never was",
            ),
            config_delay: metrics.gauge(
                "config_delay_ms",
                "Time from a watching host's read of the configuration until it was applied here, in milliseconds",
            ),
            caller_events: metrics.counter_family(
                "caller_events_total",
                "Decisions about callers that have time to wait or to return, by service and event",
                &["service", "event"],
            ),
            over_quota: metrics.counter_family(
                "over_quota_total",
                "Requests refused because their organisation exceeded its limit, by organisation",
                &["organisation"],
            ),
            traffic_limited: metrics.counter_family(
                "traffic_limited_total",
                "Requests refused by an operator's rule, by service and rule",
                &["service", "rule"],
            ),
            organisations: RefCell::default(),
        }
    }

    /// Counts what a scheduler of a service decided about callers.
    pub(crate) fn count_caller_events(&self, service: &ServiceName, events: CallerEvents) {
        for (event, number) in [
            ("booked", events.booked),
            ("honoured", events.honoured),
            ("too_early", events.too_early),
            ("too_late", events.too_late),
            ("share_applied", events.shares_applied),
        ] {
            let labels = [service.as_str(), event];
            self.caller_events.with_label_values(&labels).inc_by(number);
        }
    }

    /// Counts a request that was refused because its organisation exceeded its rate limit.
    pub(crate) fn over_quota(&self, name: &OrganisationName) {
        let mut known = self.organisations.borrow_mut();
        if known.len() < ORGANISATION_LABELS_MAX {
            known.insert(name.clone());
        }
        let label = if known.contains(name) {
            name.as_str()
        } else {
            OTHER_LABEL
        };
        self.over_quota.with_label_values(&[label]).inc();
    }
}
