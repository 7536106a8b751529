//! Sends a request to its assigned server, and again beside the first send if that one gets no response in time.

use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_runtime::Body;
use futures_util::future::Either;
use futures_util::future::LocalBoxFuture;
use futures_util::future::select;
use http::Response;
use monoio::time::timeout;

use crate::route::attempts::Attempts;
use crate::route::caller_request::CallerRequest;
use crate::route::permitted::Overdue;
use crate::route::permitted::Permitted;
use crate::route::permitted::Sent;
use crate::route::send::is_unanswered;
use crate::route::send::record_overdue;
use crate::route::send::send;
use crate::route::send_outcome::Indeterminate;
use crate::route::send_outcome::NotRun;
use crate::route::send_outcome::SendOutcome;
use crate::route::suspicion;
use crate::state::Router;
use crate::state::Service;

/// End of an overdue send beside which the request was sent again.
enum Raced {
    /// The overdue send ended; the response to the later sends, if they ended as well.
    Ended(SendOutcome, Option<Response<Body>>),
    /// The overdue send was cancelled for this response to a later one.
    Cancelled(Response<Body>),
}

impl<'a> Attempts<'a> {
    /// Sends the request to its assigned server. If it may be sent again, waits no longer than usual for the response.
    pub(super) async fn send_in_time(&mut self, permitted: Permitted) -> Sent<'a> {
        let begun = self.router.now();
        let (target, slot) = (Rc::clone(&permitted.target), Rc::clone(&permitted.slot));
        let life = target.life.clone();
        let mut sent = self.send_once(permitted);
        if let Some(limit) = self.response_limit() {
            match timeout(limit.to_duration(), &mut sent).await {
                Ok(sent) => return self.record_sent(life, begun, sent),
                Err(_) if self.may_send_beside() => {
                    let (router, service) = (self.router, &self.service);
                    record_overdue(router, service, &target, self.call, &slot, limit);
                    self.tried.push(life.clone());
                    return Sent::Overdue(Overdue { life, limit, sent });
                }
                Err(_) => {}
            }
        }
        let sent = sent.await;
        self.record_sent(life, begun, sent)
    }

    /// Records a send that has ended; it began at `begun`.
    fn record_sent(&mut self, life: Life, begun: Millis, sent: SendOutcome) -> Sent<'a> {
        if matches!(sent, SendOutcome::Indeterminate(Indeterminate::Silent)) {
            let waited = self.router.now().since(begun);
            if is_unanswered(self.router, self.call, waited.0 as f64 * 1_000.0) {
                self.record_unanswered(&life, waited, "waited");
            }
        }
        if !matches!(sent, SendOutcome::NotRun(NotRun::Suspected)) {
            self.tried.push(life);
        }
        Sent::Ended(sent)
    }

    /// Sends the request again beside an overdue send, and returns the response to a later send.
    ///
    /// The overdue send is cancelled only for a response that is no server error: whatever prevents the later sends, a
    /// response that the first server is about to send reaches the caller.
    ///
    /// # Errors
    ///
    /// Returns how the overdue send ended if it got the response, or if no later send got one.
    pub(super) async fn run_beside(
        &mut self,
        overdue: Overdue<'a>,
    ) -> Result<Response<Body>, SendOutcome> {
        let Overdue { life, limit, sent } = overdue;
        self.possible_runs += 1;
        let again: LocalBoxFuture<'_, _> = Box::pin(self.run());
        let raced = match select(sent, again).await {
            Either::Left((sent @ SendOutcome::Answered(_), _)) => Raced::Ended(sent, None),
            Either::Left((sent, again)) => Raced::Ended(sent, again.await.ok()),
            Either::Right((Ok(again), _)) if !again.status().is_server_error() => {
                Raced::Cancelled(again)
            }
            Either::Right((again, sent)) => Raced::Ended(sent.await, again.ok()),
        };
        let (sent, again) = match raced {
            Raced::Cancelled(again) => {
                self.record_overdue_end(&life, limit, None);
                return Ok(again);
            }
            Raced::Ended(sent, again) => (sent, again),
        };
        // The overdue send is counted like any other that has ended.
        self.possible_runs -= 1;
        self.record_overdue_end(&life, limit, Some(&sent));
        match (sent, again) {
            (sent @ SendOutcome::Answered(_), _) | (sent, None) => Err(sent),
            (_, Some(again)) => Ok(again),
        }
    }

    /// Sends the request once, and waits for the response to the end of its time.
    fn send_once(&self, permitted: Permitted) -> LocalBoxFuture<'a, SendOutcome> {
        let (router, call, body) = (self.router, self.call, self.body);
        let service = Rc::clone(&self.service);
        let tries = self.tried.len() + 1;
        Box::pin(async move {
            let Permitted {
                target,
                slot,
                probe,
            } = permitted;
            let sent = send(router, &service, &target, &slot, call, body).await;
            let server = (&target, slot.is_forwarded());
            let sent = suspicion::record_send(router, &service, call, body, server, sent);
            drop(slot);
            drop(probe);
            log_send(router, &service, call, &target.life, &sent, tries);
            sent
        })
    }
}

/// Logs how a send ended that did not bring the server's response.
fn log_send(
    router: &Router,
    service: &Service,
    call: &CallerRequest,
    life: &Life,
    sent: &SendOutcome,
    tries: usize,
) {
    if matches!(sent, SendOutcome::Answered(_)) {
        return;
    }
    log::info!(request = call.id, server:% = life, service:% = service.name, tries = tries,
        fence = service.keys.borrow().fence(), left_ms = call.time_to_respond(router).0;
        "send_{}", sent.name());
}
