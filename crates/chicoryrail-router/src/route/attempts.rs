//! Whether a request waits, is sent, sent again, or refused.

use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_policy::return_time;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::RequestBody;
use http::Response;
use monoio::time::timeout;

use crate::route::call::Call;
use crate::route::call::LEAST_LEFT;
use crate::route::choose::Choice;
use crate::route::choose::choose;
use crate::route::held_slot::Slot;
use crate::route::refusal::Cause;
use crate::route::refusal::Refusal;
use crate::route::send::NotRun;
use crate::route::send::Sent;
use crate::route::send::Unknown;
use crate::route::send::send;
use crate::route::slot;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// Part of the aim for which a request waits here for room: beyond it, callers are better off coming back
/// through another host, which may know of room.
const LONE_WAIT_AIM_DIVISOR: u64 = 4;

/// Part of the aim for which a request waits for a key that changes hands; the move takes as long as the
/// work that is running on the key.
const KEY_MOVE_AIM_DIVISOR: u64 = 1;

/// Longest pause between two looks for room, should nobody say that there is some.
const TARGET_POLL_INTERVAL: Millis = Millis(10);

/// Multiple of the usual work after which a silent server is given up for another one: beyond what a
/// slow server with a slow neighbour takes, since breaking off work that is running wastes it.
const SILENT_WORK_TIMES_MAX: f64 = 8.0;

/// One request's tries.
struct Tries<'a> {
    router: &'a Rc<Router>,
    service: Rc<Service>,
    call: &'a Call,
    body: &'a Rc<RequestBody>,
    tried: Vec<Life>,
    /// Servers that may have run it.
    ran: u32,
}

/// Serves a request.
pub(crate) async fn run(
    router: &Rc<Router>,
    call: &Call,
    body: &Rc<RequestBody>,
) -> Result<Response<Body>, Refusal> {
    let service = router.service(call.service_name());
    let now = router.now();
    let bound = router.retry_bound();
    service.retries.borrow_mut().request(now, &bound);
    let mut tries = Tries {
        router,
        service,
        call,
        body,
        tried: Vec::new(),
        ran: 0,
    };
    tries.run().await
}

impl Tries<'_> {
    async fn run(&mut self) -> Result<Response<Body>, Refusal> {
        loop {
            let place = self.place().await?;
            let life = place.0.life.clone();
            let limit = self.limit();
            let (service, call, body) = (&self.service, self.call, self.body);
            let sent = send(self.router, service, place, call, body, limit).await;
            self.log(&life, &sent);
            self.tried.push(life);
            let (failed, error) = match sent {
                Sent::Answered(answer) => return Ok(answer),
                Sent::ServerError(answer) => {
                    self.ran += 1;
                    if !self.may_repeat(true) {
                        return Ok(answer);
                    }
                    continue;
                }
                Sent::NotRun(why) => (self.not_run(why), why != NotRun::Unreachable),
                Sent::Unknown(why) => {
                    self.ran += 1;
                    (self.unknown(why), true)
                }
            };
            if !self.may_repeat(error) {
                return Err(failed);
            }
        }
    }

    /// Waits until there is a server for the request: the scheduler says which; without it this host chooses by
    /// what it knows itself.
    async fn place(&self) -> Result<(Rc<Target>, Slot), Refusal> {
        let started = self.router.now();
        let answer = slot::ask(self.router, &self.service, self.call, &self.tried).await;
        let by_scheduler = !matches!(answer, slot::Answer::Silent);
        let place = match answer {
            slot::Answer::Send(target, slot) => Ok((target, slot)),
            slot::Answer::Refuse(after) => Err(self.refuse(Cause::Full, after)),
            slot::Answer::OverQuota(after) => Err(self.refuse(Cause::OverQuota, after)),
            slot::Answer::Silent => self.place_alone().await,
        };
        let mut trail = self.call.trail.borrow_mut();
        trail.waited = trail.waited + self.router.now().since(started);
        trail.by_scheduler = by_scheduler;
        if let Ok((target, _)) = &place {
            trail.server = Some(target.life.clone());
            trail.sends += 1;
        }
        place
    }

    /// Finds a server without the scheduler.
    async fn place_alone(&self) -> Result<(Rc<Target>, Slot), Refusal> {
        let target = self.wait_for_target().await?;
        if let Some((name, limit)) = self.call.needs_token() {
            let (now, hosts) = (self.router.now(), self.router.lone_hosts());
            let organisations = &self.router.organisations;
            if let Err(after) = organisations.take_lone(now, name, limit, hosts) {
                log::info!(request = self.call.id, organisation:% = name, rate = limit.rate,
                    hosts = hosts, token_in_ms = after.0; "quota_refused_alone");
                self.router.counters.over_quota(name);
                return Err(self.refuse(Cause::OverQuota, after));
            }
            self.call.has_token.set(true);
        }
        let slot = Slot::without(self.router, &self.service, &target);
        Ok((target, slot))
    }

    /// Waits until there is a server for the request, by what this host knows itself.
    async fn wait_for_target(&self) -> Result<Rc<Target>, Refusal> {
        let aim = self.call.route.aim;
        let started = self.router.now();
        loop {
            let seen = self.service.changed.count();
            let now = self.router.now();
            let left = self.call.left(now);
            if left < LEAST_LEFT {
                return Err(self.refuse(Cause::Late, Millis::ZERO));
            }
            let (cause, room) =
                match choose(self.router, &self.service, self.call, &self.tried, now) {
                    Choice::Send(target) => return Ok(target),
                    Choice::Wait(cause, room) => (cause, room),
                };
            let patience = match cause {
                Cause::KeyMoving => Millis(aim.0 / KEY_MOVE_AIM_DIVISOR),
                _ => Millis(aim.0 / LONE_WAIT_AIM_DIVISOR),
            };
            let waited = now.since(started);
            if waited >= patience.min(Millis(left.0 / 2)) {
                return Err(self.refuse(cause, room));
            }
            let _ = timeout(
                TARGET_POLL_INTERVAL.duration(),
                self.service.changed.after(seen),
            )
            .await;
        }
    }

    /// Returns how long to wait for this try's answer: a request that may be repeated leaves a silent
    /// server while there is time for another.
    fn limit(&self) -> Millis {
        let left = self.call.left(self.router.now());
        let again = self.call.repeats()
            && self.call.key.is_none()
            && self.ran + 1 < self.call.route.attempts
            && self.body.is_whole();
        // While this process stops, an answer of its own in place of a server's would be a request lost
        // to the stop.
        if !again || self.router.process.stop.is_cancelled() {
            return left;
        }
        let work = self.router.work(&self.call.route.name, self.call.route.aim);
        let patience = Millis((work * SILENT_WORK_TIMES_MAX / 1_000.0) as u64);
        patience.max(self.call.route.aim.times(2)).min(left)
    }

    /// Tells whether the request may be sent again; `counts` tells whether the last send reached a server,
    /// so that the next is a repeat.
    fn may_repeat(&self, counts: bool) -> bool {
        let unrun = self.ran == 0;
        let may = (unrun || self.call.repeats())
            && self.ran < self.call.route.attempts
            && self.tried.len() < 2 + self.call.route.attempts as usize
            && self.body.is_whole()
            && self.call.left(self.router.now()) > LEAST_LEFT;
        if !may || !counts {
            return may;
        }
        let bound = self.router.retry_bound();
        let now = self.router.now();
        let may = self.service.retries.borrow_mut().take(now, &bound);
        if !may {
            log::info!(request = self.call.id, service:% = self.service.name; "no_repeat_left");
        }
        may
    }

    fn not_run(&self, why: NotRun) -> Refusal {
        let cause = match why {
            NotRun::Unreachable => Cause::NoServer,
            NotRun::Refused => Cause::Full,
            NotRun::Misdirected => Cause::KeyMoving,
        };
        let work = self.router.work(&self.call.route.name, self.call.route.aim);
        self.refuse(cause, Millis((work / 1_000.0) as u64))
    }

    fn unknown(&self, why: Unknown) -> Refusal {
        match why {
            Unknown::Silent => Cause::Silent.into(),
            Unknown::Broken | Unknown::Crossed | Unknown::Spoiled => Cause::Broken.into(),
        }
    }

    /// Builds a refusal that is true: where an earlier send may have run, it promises nothing.
    fn refuse(&self, cause: Cause, room: Millis) -> Refusal {
        if self.ran > 0 {
            let cause = if cause == Cause::Late {
                Cause::Silent
            } else {
                Cause::Broken
            };
            return cause.into();
        }
        let left = self.call.left(self.router.now());
        Refusal {
            cause,
            after: Some(return_time(&mut rand::rng(), room, left)),
        }
    }

    fn log(&self, life: &Life, sent: &Sent) {
        if matches!(sent, Sent::Answered(_)) {
            return;
        }
        log::info!(request = self.call.id, server:% = life, service:% = self.service.name,
            tries = self.tried.len() + 1, fence = self.service.keys.borrow().fence(),
            left_ms = self.call.left(self.router.now()).0; "send_{}", sent.name());
    }
}
