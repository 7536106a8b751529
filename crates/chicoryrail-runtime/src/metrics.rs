//! Counters, gauges and histograms of a process.

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the buckets of all latency histograms, in seconds.
const BUCKETS_SECONDS: [f64; 13] = [
    0.0001, 0.0003, 0.001, 0.002, 0.004, 0.008, 0.016, 0.05, 0.1, 0.3, 1.0, 3.0, 10.0,
];

/// Registry of a process's metrics, rendered in the Prometheus text format.
///
/// The registry adds the prefix `chicoryrail_` to all names. The name of a measured quantity ends with its unit, such
/// as `_seconds`. Registering a name twice is a bug in the program and panics at start-up.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new_custom(Some("chicoryrail".to_owned()), None)
            .expect("a constant prefix is valid");
        Self { registry }
    }
}

impl Metrics {
    /// Registers a counter.
    #[must_use]
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::new(name, help).expect("metric names are constant and valid");
        self.registry
            .register(Box::new(counter.clone()))
            .expect("metric names are unique");
        counter
    }

    /// Registers a family of counters, one for each combination of label values.
    #[must_use]
    pub fn counter_family(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let family = IntCounterVec::new(Opts::new(name, help), labels)
            .expect("metric names are constant and valid");
        self.registry
            .register(Box::new(family.clone()))
            .expect("metric names are unique");
        family
    }

    /// Registers a gauge.
    #[must_use]
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(name, help).expect("metric names are constant and valid");
        self.registry
            .register(Box::new(gauge.clone()))
            .expect("metric names are unique");
        gauge
    }

    /// Registers a histogram of durations in seconds, with buckets from 100 µs to 10 s.
    #[must_use]
    pub fn histogram(&self, name: &str, help: &str) -> Histogram {
        let opts = HistogramOpts::new(name, help).buckets(BUCKETS_SECONDS.to_vec());
        let histogram = Histogram::with_opts(opts).expect("metric names are constant and valid");
        self.registry
            .register(Box::new(histogram.clone()))
            .expect("metric names are unique");
        histogram
    }

    /// Registers a family of histograms of durations in seconds, one for each combination of label values.
    #[must_use]
    pub fn histogram_family(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let opts = HistogramOpts::new(name, help).buckets(BUCKETS_SECONDS.to_vec());
        let family = HistogramVec::new(opts, labels).expect("metric names are constant and valid");
        self.registry
            .register(Box::new(family.clone()))
            .expect("metric names are unique");
        family
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
