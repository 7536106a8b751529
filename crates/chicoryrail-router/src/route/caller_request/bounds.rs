//! How long a request may wait at this host, asked again whenever the end of the process changes.

use std::future::Future;
use std::pin::pin;

use chicoryrail_core::Millis;
use chicoryrail_policy::RequestBounds;
use chicoryrail_policy::ResponseTime;
use futures_util::future::Either;
use futures_util::future::select;
use monoio::time::timeout;

use crate::route::caller_request::CallerRequest;
use crate::route::refusal::Cause;
use crate::state::Router;

/// Multiple of the latency target within which almost all responses arrive, as long as too few were observed.
const LATENCY_TARGET_FACTOR: u64 = 2;

impl CallerRequest {
    /// Returns the times until which the request may wait.
    pub(crate) fn bounds(&self, router: &Router) -> RequestBounds {
        let bounds = RequestBounds::new(self.deadline);
        match router.process_end.times() {
            Some(stop) => bounds.within(stop, self.response_time(router)),
            None => bounds,
        }
    }

    /// Returns why the request is refused if the time to send it has ended. If only this host has no time left, its caller
    /// should go to another one at once.
    pub(crate) fn out_of_time_cause(&self, router: &Router) -> Cause {
        if self.bounds(router).by_process_end {
            Cause::Stopping
        } else {
            Cause::Late
        }
    }

    /// Returns `true` if this host's process ends before the request could be sent and served.
    pub(crate) fn is_host_out_of_time(&self, router: &Router) -> bool {
        let bounds = self.bounds(router);
        bounds.by_process_end && bounds.send_by <= router.now()
    }

    /// Returns the time left for the request to be sent.
    pub(crate) fn time_to_send(&self, router: &Router) -> Millis {
        self.bounds(router).send_by.since(router.now())
    }

    /// Returns the time left for the response to arrive.
    pub(crate) fn time_to_respond(&self, router: &Router) -> Millis {
        self.bounds(router).respond_by.since(router.now())
    }

    /// Runs `waiting` for as long as the request may be sent; returns `None` if that time ends first.
    pub(crate) async fn wait_to_send<T>(
        &self,
        router: &Router,
        waiting: impl Future<Output = T>,
    ) -> Option<T> {
        run_in_time(router, || self.time_to_send(router), waiting).await
    }

    /// Runs `waiting` for as long as the response may arrive; returns `None` if that time ends first.
    pub(crate) async fn wait_to_respond<T>(
        &self,
        router: &Router,
        waiting: impl Future<Output = T>,
    ) -> Option<T> {
        run_in_time(router, || self.time_to_respond(router), waiting).await
    }

    /// Returns how long the responses of the request's route take.
    fn response_time(&self, router: &Router) -> ResponseTime {
        let route = &self.route;
        let longest = router.route_stats.unanswered_after(route);
        ResponseTime {
            usual: router
                .route_stats
                .expected_work(&route.name, route.latency_target),
            longest: longest.unwrap_or(route.latency_target.saturating_mul(LATENCY_TARGET_FACTOR)),
        }
    }
}

async fn run_in_time<T>(
    router: &Router,
    left: impl Fn() -> Millis,
    waiting: impl Future<Output = T>,
) -> Option<T> {
    let mut waiting = pin!(waiting);
    loop {
        let changed = router.process_end.changed();
        let changed = pin!(changed.cancelled());
        let ended = timeout(left().to_duration(), select(waiting.as_mut(), changed)).await;
        match ended {
            Ok(Either::Left((output, _))) => return Some(output),
            Ok(Either::Right(_)) => {}
            Err(_) => return None,
        }
    }
}
