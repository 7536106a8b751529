//! What this host has observed of each route's responses.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_core::Route;
use chicoryrail_policy::ResponseSizes;
use chicoryrail_policy::ResponseTimes;

/// Observations of each route's responses, by the route's name.
#[derive(Debug, Default)]
pub(crate) struct RouteStats {
    /// Mean service time of each route's requests, in microseconds.
    work_means: RefCell<HashMap<String, f64>>,
    /// Response times of each route that tolerates waiting.
    response_times: RefCell<HashMap<String, ResponseTimes>>,
    /// Sizes of each route's complete responses.
    response_sizes: RefCell<HashMap<String, Rc<Cell<ResponseSizes>>>>,
}

impl RouteStats {
    /// Returns the mean service time of the route's requests at an average server, in microseconds; before the first
    /// observation a third of the latency target.
    pub(crate) fn expected_work_us(&self, route: &str, latency_target: Millis) -> f64 {
        let observed = self.observed_work_us(route);
        observed.unwrap_or(latency_target.0 as f64 * 333.0)
    }

    /// Returns [`Self::expected_work_us`] in milliseconds.
    pub(crate) fn expected_work(&self, route: &str, latency_target: Millis) -> Millis {
        Millis((self.expected_work_us(route, latency_target) / 1_000.0) as u64)
    }

    /// Returns the mean service time of the route's requests, in microseconds; `None` before the first observation.
    pub(crate) fn observed_work_us(&self, route: &str) -> Option<f64> {
        self.work_means.borrow().get(route).copied()
    }

    /// Records the service time `us` of a request of the route, in microseconds. An observation counts at most as five
    /// times the mean.
    pub(crate) fn record_work(&self, route: &str, latency_target: Millis, us: f64) {
        /// Weight of a new observation in the exponentially weighted mean.
        const EWMA_WEIGHT: f64 = 0.05;
        let before = self.expected_work_us(route, latency_target);
        let after = before + (us.min(before * 5.0) - before) * EWMA_WEIGHT;
        self.work_means.borrow_mut().insert(route.to_owned(), after);
    }

    /// Records the response time of a request of a route that tolerates waiting, in microseconds.
    pub(crate) fn record_response_time(&self, route: &str, elapsed_us: f64) {
        let mut times = self.response_times.borrow_mut();
        match times.get_mut(route) {
            Some(times) => times.record(elapsed_us),
            None => times
                .entry(route.to_owned())
                .or_default()
                .record(elapsed_us),
        }
    }

    /// Returns the sizes of the route's complete responses.
    pub(crate) fn response_sizes(&self, route: &str) -> Rc<Cell<ResponseSizes>> {
        let mut sizes = self.response_sizes.borrow_mut();
        match sizes.get(route) {
            Some(sizes) => Rc::clone(sizes),
            None => Rc::clone(sizes.entry(route.to_owned()).or_default()),
        }
    }

    /// Returns the time without a response after which a request of a route that tolerates waiting counts as
    /// unanswered; `None` if this host has observed too few responses.
    pub(crate) fn unanswered_after(&self, route: &Route) -> Option<Millis> {
        let times = self.response_times.borrow();
        times
            .get(&route.name)?
            .unanswered_after(route.latency_target)
    }
}
