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

/// Bounds of the buckets of all histograms of seconds.
const SECONDS: [f64; 13] = [
    0.0001, 0.0003, 0.001, 0.002, 0.004, 0.008, 0.016, 0.05, 0.1, 0.3, 1.0, 3.0, 10.0,
];

/// A process's metrics, shown at `/metrics` in the Prometheus text format.
///
/// Names carry the prefix `chicoryrail_` and the unit; a name registered twice is a fault of the
/// program and panics at start-up.
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
    /// Adds a counter.
    #[must_use]
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::new(name, help).expect("metric names are constant and valid");
        self.registry
            .register(Box::new(counter.clone()))
            .expect("metric names are unique");
        counter
    }

    /// Adds a family of counters, one for each combination of label values.
    #[must_use]
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let family = IntCounterVec::new(Opts::new(name, help), labels)
            .expect("metric names are constant and valid");
        self.registry
            .register(Box::new(family.clone()))
            .expect("metric names are unique");
        family
    }

    /// Adds a gauge.
    #[must_use]
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(name, help).expect("metric names are constant and valid");
        self.registry
            .register(Box::new(gauge.clone()))
            .expect("metric names are unique");
        gauge
    }

    /// Adds a histogram of seconds, from 100 µs to 10 s.
    #[must_use]
    pub fn seconds(&self, name: &str, help: &str) -> Histogram {
        let opts = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
        let histogram = Histogram::with_opts(opts).expect("metric names are constant and valid");
        self.registry
            .register(Box::new(histogram.clone()))
            .expect("metric names are unique");
        histogram
    }

    /// Adds a family of histograms of seconds, one for each combination of label values.
    #[must_use]
    pub fn seconds_by(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let opts = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
        let family = HistogramVec::new(opts, labels).expect("metric names are constant and valid");
        self.registry
            .register(Box::new(family.clone()))
            .expect("metric names are unique");
        family
    }

    /// Renders all metrics as text.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
