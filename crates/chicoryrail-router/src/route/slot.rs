//! Asks the host that schedules for a server's slot.

use std::pin::pin;
use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::RouteKind;
use chicoryrail_ownership::SchedulerHost;
use monoio::time::timeout;
use rand::seq::IteratorRandom;

use crate::route::call::Call;
use crate::route::held_slot::Slot;
use crate::route::held_slot::to_scheduler;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;
use crate::talk::Packet;
use crate::talk::PartName;
use crate::talk::SlotQuery;
use crate::talk::SlotReply;

/// Time after which a question without any reply is sent again, and after which the scheduler is given up.
/// Between data centres a question and its reply take few milliseconds, but more at a host that has used its share of the
/// processor for this tenth of a second.
const FIRST_REPLY_TIMEOUT: Millis = Millis(20);
const SCHEDULER_TIMEOUT: Millis = Millis(50);

/// Time after which a request that waits at the scheduler asks again: the reply may have been lost, or another
/// host may schedule by now.
const WAITING_POLL_INTERVAL: Millis = Millis(120);

/// What the scheduler said.
pub(crate) enum Answer {
    /// Send to this server.
    Send(Rc<Target>, Slot),
    /// Refuse; there may be room after this time.
    Refuse(Millis),
    /// Refuse: the organisation is beyond its limit; there may be a token after this time.
    OverQuota(Millis),
    /// The scheduler can't be reached.
    Silent,
}

/// Asks the scheduler which server a request goes to, and waits as long as it says.
pub(crate) async fn ask(
    router: &Rc<Router>,
    service: &Rc<Service>,
    call: &Call,
    tried: &[Life],
) -> Answer {
    let part = own_part(router, service);
    let scheduler = scheduler_of(router, service, &part, call);
    let (ticket, waiting) = router.asks.open(router.process.instance);
    let mut place = Place {
        router,
        part,
        overflows: false,
        scheduler,
        ticket,
        waits: true,
    };
    let mut asked = router.now();
    let mut heard = false;
    place.send(call, tried);
    let mut sent_again = false;
    loop {
        let seen = waiting.changed.count();
        match waiting.take() {
            Some(SlotReply::Send(life)) => {
                place.waits = false;
                call.has_token.set(true);
                let slot = Slot::new(router, &place.part, place.scheduler, ticket, &life);
                let target = service.target(&life).filter(|t| t.may_get(router.now()));
                return match target {
                    Some(target) => Answer::Send(target, slot),
                    // That host has not heard yet what this one knows of the server.
                    None => Answer::Silent,
                };
            }
            Some(SlotReply::Refuse(after)) => {
                place.waits = false;
                return Answer::Refuse(Millis(after));
            }
            Some(SlotReply::OverQuota(after)) => {
                place.waits = false;
                return Answer::OverQuota(Millis(after));
            }
            Some(moved @ (SlotReply::Elsewhere | SlotReply::Overflow(_))) => {
                if let SlotReply::Overflow(dc) = moved {
                    place.part.dc = Some(dc);
                    place.overflows = true;
                }
                place.scheduler = scheduler_of(router, service, &place.part, call);
                place.send(call, tried);
                heard = false;
                sent_again = false;
                asked = router.now();
            }
            Some(SlotReply::Waits) => {
                heard = true;
                sent_again = false;
                asked = router.now();
            }
            None => {}
        }
        let now = router.now();
        if call.left(now) == Millis::ZERO {
            return Answer::Refuse(Millis::ZERO);
        }
        let silent = now.since(asked);
        let again = if heard {
            WAITING_POLL_INTERVAL
        } else {
            FIRST_REPLY_TIMEOUT
        };
        if silent >= again + SCHEDULER_TIMEOUT - FIRST_REPLY_TIMEOUT {
            if let SchedulerHost::At(addr) = place.scheduler {
                router.peers.borrow_mut().silent(addr);
            }
            log::info!(request = call.id, silent_ms = silent.0, heard = heard, host:? = place.scheduler;
                "scheduler_silent");
            return Answer::Silent;
        }
        if silent >= again && !sent_again {
            sent_again = true;
            place.send(call, tried);
        }
        let next = if sent_again {
            again + SCHEDULER_TIMEOUT - FIRST_REPLY_TIMEOUT
        } else {
            again
        };
        let wait = next.since(silent).min(call.left(now)) + Millis(1);
        let changed = pin!(waiting.changed.after(seen));
        let _ = timeout(wait.duration(), changed).await;
    }
}

/// A question at the scheduler; dropped while it waits, it is taken back.
struct Place<'a> {
    router: &'a Rc<Router>,
    part: PartName,
    /// Whether the part of this host's data centre had no room for it.
    overflows: bool,
    scheduler: SchedulerHost,
    ticket: u64,
    waits: bool,
}

impl Place<'_> {
    /// Sends the question.
    fn send(&self, call: &Call, tried: &[Life]) {
        let now = self.router.now();
        let work = self.router.work(&call.route.name, call.route.aim);
        let ask = SlotQuery {
            dc: self.router.boot().dc.clone(),
            part: self.part.clone(),
            overflows: self.overflows,
            ticket: self.ticket,
            id: call.id.clone(),
            key: call.key,
            rank: call.rank(),
            organisation: call.needs_token().map(|(name, _)| name.clone()),
            aim: (call.arrived + call.route.aim).since(now).0,
            left: call.left(now).0,
            work_us: work as u64,
            large: call.route.kind == RouteKind::Download,
            not: tried.to_vec(),
        };
        to_scheduler(self.router, self.scheduler, Packet::SlotQuery(ask));
    }
}

/// Returns the part of a service that a request asks first: that of this host's data centre, where it has servers.
fn own_part(router: &Router, service: &Service) -> PartName {
    let targets = service.targets.borrow();
    let dc = router.boot().dc.clone();
    let near = targets.values().any(|t| t.dc == dc && t.is_ready());
    if near || !service.divided.get() {
        return service.part_in(&dc);
    }
    let ready = targets.values().filter(|t| t.is_ready());
    let any = ready.choose(&mut rand::rng()).map_or(dc, |t| t.dc.clone());
    service.part_in(&any)
}

/// Returns the host that schedules for the server that a request will go to, or for the part that it asks.
fn scheduler_of(router: &Router, service: &Service, part: &PartName, call: &Call) -> SchedulerHost {
    if part.dc.is_some() || call.key.is_none() {
        return router.part_scheduler(part);
    }
    let keys = service.keys.borrow();
    let owner = call.key.and_then(|key| keys.meant(key));
    router.server_scheduler(service, owner)
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.router.asks.close(self.ticket);
        if !self.waits {
            return;
        }
        let packet = Packet::Leave {
            part: self.part.clone(),
            ticket: self.ticket,
        };
        to_scheduler(self.router, self.scheduler, packet);
    }
}
