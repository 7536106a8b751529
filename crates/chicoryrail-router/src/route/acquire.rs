//! Waits for a server for a request.

use std::rc::Rc;

use chicoryrail_core::Millis;
use monoio::time::timeout;

use crate::route::attempts::Attempts;
use crate::route::choose::Choice;
use crate::route::choose::NO_SERVER_RETRY;
use crate::route::choose::choose;
use crate::route::refusal::Cause;
use crate::route::refusal::Refusal;
use crate::route::slot_guard::SlotGuard;
use crate::route::slot_query;
use crate::state::Stage;
use crate::state::Target;

/// Divisor of the latency target; the result is the longest time for which a request without a scheduler waits for a
/// server. After that, the caller is more likely to succeed with a retry through another host, which may know of a
/// free server.
const LOCAL_WAIT_DIVISOR: u64 = 4;

/// Divisor of the latency target; the result is the longest time for which a request waits while its key moves to
/// another owner. The move takes as long as the requests that are running on the key.
const KEY_MOVE_WAIT_DIVISOR: u64 = 1;

/// Longest time between two checks for a server, if no change notification arrives.
const TARGET_POLL_INTERVAL: Millis = Millis(10);

impl Attempts<'_> {
    /// Waits for a server for as long as the caller waits for its response.
    pub(super) async fn acquire_for_caller(&self) -> Result<(Rc<Target>, SlotGuard), Refusal> {
        let caller_left = &self.call.caller_left;
        let acquired = caller_left.run_until_cancelled(self.acquire_server());
        acquired.await.unwrap_or(Err(Cause::CallerLeft.into()))
    }

    /// Waits for a server for the request. The scheduler assigns it; if the scheduler is unavailable, this host selects
    /// the server by its own view of the load.
    async fn acquire_server(&self) -> Result<(Rc<Target>, SlotGuard), Refusal> {
        let started = self.router.now();
        self.call.progress.stage.set(Stage::Slot);
        let mut decision = self.request_slot().await;
        let tolerates_waiting = self.call.route.tolerates_waiting();
        if tolerates_waiting && matches!(decision, slot_query::Decision::Unavailable) {
            // Another host schedules for the server now, and many hosts may have lost the scheduler at this moment.
            decision = self.request_slot().await;
        }
        let decided_by_scheduler = !matches!(decision, slot_query::Decision::Unavailable);
        let assignment = match decision {
            slot_query::Decision::Send(target, slot) => Ok((target, slot)),
            slot_query::Decision::Refuse(after) => Err(self.refuse(Cause::Full, after)),
            slot_query::Decision::Return(after) => Err(self.refuse_until(after)),
            slot_query::Decision::OverQuota(after) => Err(self.refuse(Cause::OverQuota, after)),
            slot_query::Decision::Withheld(why) => Err(self.refuse_withheld(why)),
            slot_query::Decision::OutOfTime => Err(self.refuse_out_of_time()),
            slot_query::Decision::Unavailable => self.acquire_without_scheduler().await,
        };
        let mut stats = self.call.stats.borrow_mut();
        stats.waited = stats.waited + self.router.now().since(started);
        stats.decided_by_scheduler = decided_by_scheduler;
        if let Ok((target, _)) = &assignment {
            let now = self.router.now();
            stats.server = Some(target.life.clone());
            stats.assigned_at = now;
            stats.warmup_left = target.warmup_until.get().since(now);
            stats.sends += 1;
        }
        assignment
    }

    async fn request_slot(&self) -> slot_query::Decision {
        slot_query::request_slot(self.router, &self.service, self.call, &self.tried).await
    }

    /// Chooses a server, and takes a quota token if one is needed, without the scheduler.
    async fn acquire_without_scheduler(&self) -> Result<(Rc<Target>, SlotGuard), Refusal> {
        self.call.progress.stage.set(Stage::Server);
        let target = self.wait_for_target().await?;
        if let Some((name, limit)) = self.call.needed_quota() {
            let (now, hosts) = (self.router.now(), self.router.standalone_hosts());
            let organisations = &self.router.organisations;
            if let Err(after) = organisations.take_standalone(now, name, limit, hosts) {
                log::info!(request = self.call.id, organisation:% = name, rate = limit.rate,
                    hosts = hosts, token_in_ms = after.0; "quota_refused_alone");
                self.router.counters.over_quota(name);
                return Err(self.refuse(Cause::OverQuota, after));
            }
            self.call.has_quota_token.set(true);
        }
        let slot = SlotGuard::without_scheduler(self.router, &self.service, &target, self.call);
        Ok((target, slot))
    }

    /// Waits for a server for the request, selected by this host's own view of the load.
    async fn wait_for_target(&self) -> Result<Rc<Target>, Refusal> {
        let latency_target = self.call.route.latency_target;
        let started = self.router.now();
        loop {
            let seen = self.service.changed.version();
            let now = self.router.now();
            let left = self.call.time_to_send(self.router);
            if left == Millis::ZERO {
                return Err(self.refuse_out_of_time());
            }
            let (cause, capacity_in) =
                match choose(self.router, &self.service, self.call, &self.tried, now) {
                    Choice::Send(target) => return Ok(target),
                    Choice::Wait(cause, capacity_in) => (cause, capacity_in),
                    Choice::Refuse(why) => return Err(self.refuse_withheld(why)),
                    Choice::Unscheduled => return Err(self.refuse(Cause::Full, NO_SERVER_RETRY)),
                };
            let wait_max = match cause {
                Cause::KeyMoving => Millis(latency_target.0 / KEY_MOVE_WAIT_DIVISOR),
                _ => Millis(latency_target.0 / LOCAL_WAIT_DIVISOR),
            };
            let waited = now.since(started);
            if waited >= wait_max.min(Millis(left.0 / 2)) {
                return Err(self.refuse(cause, capacity_in));
            }
            let _ = timeout(
                TARGET_POLL_INTERVAL.to_duration(),
                self.service.changed.wait_past(seen),
            )
            .await;
        }
    }
}
