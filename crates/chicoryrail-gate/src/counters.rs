//! Metrics of a gate.

use chicoryrail_core::Class;
use chicoryrail_core::ResultCode;
use chicoryrail_runtime::Metrics;
use prometheus::Histogram;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;

/// What a gate counts.
#[derive(Clone, Debug)]
pub(crate) struct Counters {
    pub(crate) in_flight: IntGauge,
    pub(crate) queued: IntGauge,
    pub(crate) held: IntGauge,
    pub(crate) pooled: IntGauge,
    pub(crate) holds: IntCounter,
    pub(crate) retries: IntCounter,
    pub(crate) hedges: IntCounter,
    pub(crate) forwards: IntCounter,
    pub(crate) cancels: IntCounter,
    pub(crate) mismatches: IntCounter,
    pub(crate) routes: IntCounter,
    pub(crate) hedges_refused: IntCounterVec,
    requests: IntCounterVec,
    interactive: Histogram,
    order: Histogram,
    batch: Histogram,
}

impl Counters {
    /// Registers the metrics.
    pub(crate) fn new(m: &Metrics) -> Self {
        Self {
            in_flight: m.gauge("gate_in_flight", "Callers' requests being served"),
            queued: m.gauge("gate_queued", "Requests that wait for a slot of a server"),
            held: m.gauge("gate_held", "Requests that wait for a valid route"),
            pooled: m.gauge("gate_connections", "Open connections to servers"),
            holds: m.counter(
                "gate_holds_total",
                "Requests that had to wait for a valid route",
            ),
            retries: m.counter("gate_retries_total", "Second sends of requests"),
            hedges: m.counter("gate_hedges_total", "Late lookups tried a second time"),
            forwards: m.counter("gate_forwards_total", "Requests sent through another gate"),
            cancels: m.counter("gate_cancels_total", "Requests cancelled at their server"),
            mismatches: m.counter(
                "gate_mismatches_total",
                "Answers that did not belong to their request",
            ),
            routes: m.counter(
                "gate_route_calls_total",
                "Renewals of routes at controllers",
            ),
            hedges_refused: m.counters(
                "gate_hedges_refused_total",
                "Late lookups not tried a second time, for want of budget or of a free slot",
                &["want"],
            ),
            requests: m.counters(
                "gate_requests_total",
                "Ended requests by service, class and result code",
                &["service", "class", "code"],
            ),
            interactive: m.seconds("gate_interactive_seconds", "Time to the answer's head"),
            order: m.seconds("gate_order_seconds", "Time to the answer's head"),
            batch: m.seconds("gate_batch_seconds", "Time to the answer's head"),
        }
    }

    /// Counts a request that has its answer.
    pub(crate) fn ended(&self, service: &str, class: Class, code: ResultCode, seconds: f64) {
        let (name, histogram) = match class {
            Class::Interactive => ("interactive", &self.interactive),
            Class::Order => ("order", &self.order),
            Class::Batch => ("batch", &self.batch),
        };
        let mut digits = [0_u8; 5];
        let code = decimal(code.number(), &mut digits);
        self.requests
            .with_label_values(&[service, name, code])
            .inc();
        histogram.observe(seconds);
    }
}

fn decimal(mut n: u16, digits: &mut [u8; 5]) -> &str {
    let mut at = digits.len();
    loop {
        at -= 1;
        digits[at] = b'0' + (n % 10) as u8;
        n /= 10;
        if n == 0 {
            break;
        }
    }
    std::str::from_utf8(&digits[at..]).unwrap_or("0")
}
