//! Decides whether a request waits, is sent, retried or refused.

use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_policy::Standing;
use chicoryrail_policy::Withheld;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::RequestBody;
use http::Response;
use monoio::time::timeout;

use crate::route::caller_request::CallerRequest;
use crate::route::candidates;
use crate::route::permitted::Permitted;
use crate::route::permitted::Sent;
use crate::route::refusal::Cause;
use crate::route::refusal::Refusal;
use crate::route::send_outcome::NotRun;
use crate::route::send_outcome::SendOutcome;
use crate::route::suspicion;
use crate::route::suspicion::Permission;
use crate::route::upload;
use crate::state::Router;
use crate::state::Service;
use crate::state::Stage;

/// Longest time until a suspected request asks again whether it may run.
const TURN_POLL_INTERVAL: Millis = Millis(20);

/// Time after which a suspected request that was refused should be sent again.
const TURN_RETRY: Millis = Millis(300);

/// One request, and the attempts to serve it so far.
pub(super) struct Attempts<'a> {
    pub(super) router: &'a Rc<Router>,
    pub(super) service: Rc<Service>,
    pub(super) call: &'a CallerRequest,
    pub(super) body: &'a Rc<RequestBody>,
    /// Servers of the earlier attempts, also those that could not be reached.
    pub(super) tried: Vec<Life>,
    /// Number of sends that the server may have executed.
    pub(super) possible_runs: u32,
    /// Response in hand that is a server error, or that may have no end. The caller gets it if no later send gets a
    /// response.
    pub(super) kept: Option<Response<Body>>,
}

/// Serves a request, with retries within the limits of its route and the retry budget.
///
/// # Errors
///
/// Returns the refusal if no server returned a usable response.
pub(crate) async fn run(
    router: &Rc<Router>,
    call: &CallerRequest,
    body: &Rc<RequestBody>,
) -> Result<Response<Body>, Refusal> {
    let service = router.service(call.service_name());
    let now = router.now();
    let limits = router.retry_limits();
    service.retries.borrow_mut().record_request(now, &limits);
    let mut attempts = Attempts {
        router,
        service,
        call,
        body,
        tried: Vec::new(),
        possible_runs: 0,
        kept: None,
    };
    let served = attempts.run().await;
    served.or_else(|refusal| attempts.kept.take().ok_or(refusal))
}

impl Attempts<'_> {
    /// Sends the request until it is served, or may not be sent again.
    pub(super) async fn run(&mut self) -> Result<Response<Body>, Refusal> {
        let begun = self.router.now();
        loop {
            let permitted = self.acquire_permitted(begun).await?;
            self.read_upload_start().await?;
            let sent = match self.send_in_time(permitted).await {
                Sent::Ended(sent) => sent,
                Sent::Overdue(overdue) => match self.run_beside(overdue).await {
                    Ok(response) => return Ok(response),
                    Err(sent) => sent,
                },
            };
            match sent {
                // Evidence against the request arrived before anything was sent; it waits for its turn.
                SendOutcome::NotRun(NotRun::Suspected) => {}
                SendOutcome::Answered(response) => return Ok(response),
                SendOutcome::ServerError(response) | SendOutcome::Unusual(response) => {
                    self.possible_runs += 1;
                    let response = self.prefer(response);
                    if !self.may_retry(true) {
                        return Ok(response);
                    }
                    self.kept = Some(response);
                }
                SendOutcome::NotRun(why) => {
                    if !self.may_retry(why.reached_server()) {
                        return Err(self.refuse_not_run(why));
                    }
                }
                SendOutcome::Indeterminate(why) => {
                    self.possible_runs += 1;
                    if !self.may_retry(true) {
                        return Err(why.cause().into());
                    }
                }
            }
        }
    }

    /// Returns `response`, or the one in hand if only that is a success.
    fn prefer(&mut self, response: Response<Body>) -> Response<Body> {
        match self.kept.take() {
            Some(kept) if kept.status().is_success() && !response.status().is_success() => kept,
            _ => response,
        }
    }

    /// Reads the start of an upload that took its slot before it was read.
    async fn read_upload_start(&self) -> Result<(), Refusal> {
        if self.body.flow().is_none() {
            return Ok(());
        }
        let reading = self.body.prefetch(self.call.time_to_send(self.router));
        upload::read_in_time(self.router, self.call, reading).await
    }

    /// Waits for a server, and until the request may be sent; `begun` is when the request began to wait.
    pub(super) async fn acquire_permitted(&self, begun: Millis) -> Result<Permitted, Refusal> {
        let (router, call, body) = (self.router, self.call, self.body);
        loop {
            if suspicion::standing(router, call, body) == Standing::Blocked {
                return Err(self.refuse_blocked());
            }
            let (target, slot) = self.acquire_for_caller().await?;
            let permission = suspicion::request_permission(router, &self.service, call, body);
            match permission.await {
                Permission::Granted(probe) => {
                    let slot = Rc::new(slot);
                    return Ok(Permitted {
                        target,
                        slot,
                        probe,
                    });
                }
                Permission::Blocked => {}
                Permission::Wait => {
                    drop(slot);
                    self.wait_for_turn(begun).await?;
                }
            }
        }
    }

    /// Waits before a suspected request asks again whether it may run.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request has waited for too long since `begun`.
    async fn wait_for_turn(&self, begun: Millis) -> Result<(), Refusal> {
        self.call.progress.stage.set(Stage::Turn);
        if self.call.is_host_out_of_time(self.router) {
            return Err(self.refuse_out_of_time());
        }
        let now = self.router.now();
        let wait_max = self
            .call
            .route
            .latency_target
            .min(Millis(self.call.time_to_send(self.router).0 / 2));
        if now.since(begun) >= wait_max || self.call.caller_left.is_cancelled() {
            suspicion::log_held_back(self.router, self.call, self.body);
            return Err(self.refuse(Cause::Suspected, TURN_RETRY));
        }
        let seen = self.router.crashes.changed.version();
        let changed = self.router.crashes.changed.wait_past(seen);
        let _ = timeout(TURN_POLL_INTERVAL.to_duration(), changed).await;
        Ok(())
    }

    /// Returns why no server may receive the request from this host; `None` if one may.
    pub(super) fn withheld(&self) -> Option<Withheld> {
        candidates::withheld(self.router, &self.service, self.call, self.router.now())
    }
}
