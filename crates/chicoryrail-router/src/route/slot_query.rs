//! Requests a server slot from the host that schedules it.
//!
//! One host schedules each part of a service, a scheduling partition; with keys, one host for each server.

use std::pin::pin;
use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::RouteKind;
use chicoryrail_ownership::SchedulerHost;
use chicoryrail_policy::SendPermit;
use chicoryrail_policy::Withheld;
use monoio::time::timeout;

use crate::control::scheduling;
use crate::messages::Packet;
use crate::messages::PartName;
use crate::messages::SlotQuery;
use crate::messages::SlotReply;
use crate::route::caller_request::CallerRequest;
use crate::route::candidates::permit;
use crate::route::candidates::unkeyed_candidates;
use crate::route::candidates::withheld_by_owner;
use crate::route::queue_identity::QueueIdentity;
use crate::route::scheduler_choice::initial_part;
use crate::route::scheduler_choice::scheduler_for;
use crate::route::slot_guard::SlotGuard;
use crate::route::slot_guard::send_to_scheduler;
use crate::state::Router;
use crate::state::Service;
use crate::state::Stage;
use crate::state::Target;

/// Time after which a slot query without any reply is sent again.
///
/// A query and its reply take a few milliseconds between data centres, but longer if a host has used up its CPU quota
/// for the current period of 100 ms.
const FIRST_REPLY_TIMEOUT: Millis = Millis(20);

/// Time without any reply to a slot query after which its scheduler counts as unreachable. For a queued query, the time
/// is [`QUEUED_POLL_INTERVAL`] plus the difference between this and [`FIRST_REPLY_TIMEOUT`].
const SCHEDULER_TIMEOUT: Millis = Millis(50);

/// Time after which a query that is queued at the scheduler is sent again: the reply may have been lost, or
/// another host may have become the scheduler.
const QUEUED_POLL_INTERVAL: Millis = Millis(120);

/// The scheduler's decision about a request.
pub(crate) enum Decision {
    /// Send to this server, using the slot.
    Send(Rc<Target>, SlotGuard),
    /// Refuse; capacity is expected after this time.
    Refuse(Millis),
    /// Refuse; the caller should return after exactly this time.
    Return(Millis),
    /// Refuse: the organisation has exceeded its rate limit; a token is expected after this time.
    OverQuota(Millis),
    /// Refuse: the servers that may run the request asked this host for no more.
    Withheld(Withheld),
    /// The time in which the request may be sent from this host has ended.
    OutOfTime,
    /// The scheduler did not reply in time, or it chose a server that this host can't send to.
    Unavailable,
}

/// Requests a server slot from the scheduler and waits for its decision, also while the query is queued there.
pub(crate) async fn request_slot(
    router: &Rc<Router>,
    service: &Rc<Service>,
    call: &CallerRequest,
    tried: &[Life],
) -> Decision {
    let excluded = match excluded_servers(router, service, call, tried) {
        Ok(excluded) => excluded,
        Err(why) => return Decision::Withheld(why),
    };
    let part = initial_part(router, service, call);
    let scheduler = scheduler_for(router, service, &part, call);
    let (ticket, pending_reply) = router.pending_queries.open(router.process.instance_id);
    let mut query = PendingQuery {
        router,
        part,
        overflowed: false,
        scheduler,
        ticket,
        pending: true,
    };
    let mut last_activity = router.now();
    let mut acknowledged = false;
    query.send(call, &excluded);
    let mut resent = false;
    loop {
        let seen = pending_reply.changed.version();
        match pending_reply.take() {
            Some(SlotReply::Send(life)) => {
                query.pending = false;
                call.has_quota_token.set(true);
                let slot = SlotGuard::new(router, &query.part, query.scheduler, ticket, &life);
                slot.keep_for_schedulers(call, vec![query.scheduler]);
                let target = service
                    .target(&life)
                    .filter(|t| t.accepts_requests(router.now()));
                let Some(target) = target else {
                    // The scheduler's view of this server is older than this host's.
                    return Decision::Unavailable;
                };
                return match permit(router, call, &target, router.now()) {
                    SendPermit::Withheld(why) if call.key.is_some() => Decision::Withheld(why),
                    // The notice arrived after the query was sent: another server may be free.
                    SendPermit::Withheld(_) => Decision::Unavailable,
                    SendPermit::Granted | SendPermit::LastResort => Decision::Send(target, slot),
                };
            }
            Some(SlotReply::Refuse(after)) => {
                query.pending = false;
                return Decision::Refuse(Millis(after));
            }
            Some(SlotReply::Return(after)) => {
                query.pending = false;
                return Decision::Return(Millis(after));
            }
            Some(SlotReply::OverQuota(after)) => {
                query.pending = false;
                return Decision::OverQuota(Millis(after));
            }
            Some(moved @ (SlotReply::Elsewhere | SlotReply::Overflow(_))) => {
                if let SlotReply::Overflow(dc) = moved {
                    query.part.dc = Some(dc);
                    query.overflowed = true;
                }
                query.scheduler = scheduler_for(router, service, &query.part, call);
                call.progress.stage.set(Stage::Slot);
                query.send(call, &excluded);
                acknowledged = false;
                resent = false;
                last_activity = router.now();
            }
            Some(SlotReply::Waits) => {
                call.progress.stage.set(Stage::Queue);
                acknowledged = true;
                resent = false;
                last_activity = router.now();
            }
            None => {}
        }
        let now = router.now();
        if let Some(why) = withheld_by_owner(router, service, call, now) {
            return Decision::Withheld(why);
        }
        let time_to_send = call.time_to_send(router);
        if time_to_send == Millis::ZERO {
            return Decision::OutOfTime;
        }
        let silence = now.since(last_activity);
        let resend_after = if acknowledged {
            QUEUED_POLL_INTERVAL
        } else {
            FIRST_REPLY_TIMEOUT
        };
        if silence >= resend_after + SCHEDULER_TIMEOUT - FIRST_REPLY_TIMEOUT {
            // The scheduler of this process is as late as the request itself, which must not overtake those in its queue.
            if query.scheduler == SchedulerHost::Here && call.route.tolerates_waiting() {
                query.send(call, &excluded);
                last_activity = now;
                continue;
            }
            if let SchedulerHost::At(addr) = query.scheduler {
                router.peers.borrow_mut().mark_unreachable(addr);
                scheduling::report_requests(router);
            }
            log::info!(request = call.id, silent_ms = silence.0, heard = acknowledged,
                host:? = query.scheduler; "scheduler_silent");
            return Decision::Unavailable;
        }
        if silence >= resend_after && !resent {
            resent = true;
            query.send(call, &excluded);
        }
        let next_step = if resent {
            resend_after + SCHEDULER_TIMEOUT - FIRST_REPLY_TIMEOUT
        } else {
            resend_after
        };
        let wait = next_step.since(silence).min(time_to_send) + Millis(1);
        let changed = pin!(pending_reply.changed.wait_past(seen));
        let _ = timeout(wait.to_duration(), call.wait_to_send(router, changed)).await;
    }
}

/// Returns the servers that the scheduler must not choose: those of earlier attempts, and those that this host must not
/// send to.
///
/// # Errors
///
/// Returns why no server may receive the request from this host.
fn excluded_servers(
    router: &Router,
    service: &Service,
    call: &CallerRequest,
    tried: &[Life],
) -> Result<Vec<Life>, Withheld> {
    let now = router.now();
    if call.key.is_some() {
        let withheld = withheld_by_owner(router, service, call, now);
        return withheld.map_or_else(|| Ok(tried.to_vec()), Err);
    }
    if !service.has_notices() {
        return Ok(tried.to_vec());
    }
    let mut excluded = unkeyed_candidates(router, service, call, now)?.excluded;
    excluded.extend_from_slice(tried);
    Ok(excluded)
}

/// A slot query at the scheduler. If it is dropped while still pending, the scheduler is sent a cancellation.
struct PendingQuery<'a> {
    router: &'a Rc<Router>,
    part: PartName,
    /// Whether the first part had no capacity and passed the query on to another data centre.
    overflowed: bool,
    scheduler: SchedulerHost,
    ticket: u64,
    /// Whether the scheduler has not sent its decision yet.
    pending: bool,
}

impl PendingQuery<'_> {
    /// Sends the query to the current scheduler.
    fn send(&self, call: &CallerRequest, excluded: &[Life]) {
        let now = self.router.now();
        let work = self
            .router
            .route_stats
            .expected_work_us(&call.route.name, call.route.latency_target);
        let identity = QueueIdentity::new(call);
        call.progress.scheduler.set(match self.scheduler {
            SchedulerHost::At(addr) => Some(addr),
            SchedulerHost::Here => None,
        });
        let slot_query = SlotQuery {
            dc: self.router.boot().dc.clone(),
            part: self.part.clone(),
            overflows: self.overflowed,
            ticket: self.ticket,
            id: call.id.clone(),
            key: call.key,
            rank: call.priority(),
            organisation: call.needed_quota().map(|(name, _)| name.clone()),
            aim: (call.arrived + call.route.latency_target).since(now).0,
            left: call.time_to_respond(self.router).0,
            work_us: work as u64,
            large: call.route.kind == RouteKind::Download,
            not: excluded.to_vec(),
            tolerates_waiting: call.route.tolerates_waiting(),
            caller_left: call.caller_deadline.since(now).0,
            caller: identity.caller,
            head: identity.head,
            route: identity.route,
            body_bytes: call.body_bytes(),
        };
        send_to_scheduler(self.router, self.scheduler, Packet::SlotQuery(slot_query));
    }
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.router.pending_queries.close(self.ticket);
        if !self.pending {
            return;
        }
        let packet = Packet::Leave {
            part: self.part.clone(),
            ticket: self.ticket,
        };
        send_to_scheduler(self.router, self.scheduler, packet);
    }
}
