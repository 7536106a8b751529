//! Admission, order and dispatch in front of the servers that one gate holds.

use chicoryrail_core::Class;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;

use crate::Action;
use crate::Ask;
use crate::Decision;
use crate::Estimate;
use crate::Limits;
use crate::Load;
use crate::Outcome;
use crate::Ramp;
use crate::Refusal;
use crate::ServerId;
use crate::Ticket;
use crate::Verdict;
use crate::backlog::Backlog;
use crate::backlog::Waiting;
use crate::server::Server;

/// One in this many servers of a queue may be avoided as slow; with more, slowness is no longer
/// the exception and avoiding them would only push their load onto the rest.
const AVOIDED: usize = 3;

/// The one queue in front of servers whose slots this gate holds.
///
/// A keyed service has a queue for each server, since a key has one owner. A free service has one
/// queue for all servers that the gate holds: a request is bound to a server when a slot is free,
/// not when it arrives, so none waits behind a slow server while another is idle.
///
/// Call [`Self::poll`] until it returns `None` after each call that can free a slot, and at the time
/// that [`Self::wake`] names.
#[derive(Clone, Debug)]
pub struct ServerQueue {
    limits: Limits,
    servers: Vec<Server>,
    backlog: Backlog,
    /// Present service time, slow servers included, by class: what a wait is computed from.
    present: [Estimate; 3],
    /// Service time of sound servers by class: what slowness is measured against.
    usual: [Estimate; 3],
    /// Slot time in microseconds that batch has earned by its guaranteed share.
    credit: f64,
    earned: Millis,
}

impl Default for ServerQueue {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl ServerQueue {
    /// Creates a queue without servers.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            servers: Vec::new(),
            backlog: Backlog::default(),
            present: [Estimate::new(limits.prior_us); 3],
            usual: [Estimate::new(limits.prior_us); 3],
            credit: 0.0,
            earned: Millis::ZERO,
        }
    }

    /// Adds a server, or changes its slots: `ServerRoute.slots` of the route table.
    pub fn set_server(&mut self, id: ServerId, slots: u32) {
        match self.server(id) {
            Some(s) => {
                s.slots = slots;
                s.leaving = false;
            }
            None => self.servers.push(Server::new(id, slots)),
        }
    }

    /// Starts a server's ramp from one in flight: the route table says `Cold`, or all of its
    /// connections broke and the next one may meet a fresh process.
    pub fn set_cold(&mut self, id: ServerId) {
        if let Some(s) = self.server(id) {
            s.ramp = Ramp::cold();
        }
    }

    /// Takes a server's instance id from an answer; a fresh one starts the ramp.
    pub fn set_instance(&mut self, id: ServerId, instance: u64) {
        if let Some(s) = self.server(id) {
            if s.instance != 0 && s.instance != instance {
                s.ramp = Ramp::cold();
            }
            s.instance = instance;
        }
    }

    /// Sends a server no new work; what is in flight ends in its own time.
    pub fn remove_server(&mut self, id: ServerId) {
        if let Some(s) = self.server(id) {
            s.leaving = true;
        }
        self.servers.retain(|s| !s.leaving || s.in_flight() > 0);
    }

    /// Offers a request: it is sent, waits, or is refused at once.
    ///
    /// Load: more work than the servers can do. Harm prevented: requests that wait, die, and take
    /// slots from those that could still be answered. A request is admitted only if its expected
    /// wait and service fit into a part of its remaining time ([`Limits::patience`]); what does not
    /// fit is refused in the same moment, with the time at which a return makes sense.
    pub fn offer(&mut self, now: Millis, ask: Ask) -> Decision {
        if self.servers.iter().all(|s| s.leaving) {
            return Decision::Refuse(Refusal::new(ResultCode::NoServer, 0, ask.ticket));
        }
        let service = self.present[ask.class as usize].us();
        let left = ask.deadline.since(now).0 as f64 * 1_000.0;
        if left < service {
            return Decision::Refuse(self.refusal(ResultCode::DeadlinePassed, ask));
        }
        let batch = ask.class == Class::Batch;
        let first = self.backlog.len(false) == 0 && (!batch || self.backlog.len(true) == 0);
        if first && let Some(id) = self.choose(now, ask.class, false) {
            self.start(now, id, &ask);
            return Decision::Send(id);
        }
        let ahead = self.backlog.ahead(batch, ask.deadline) as f64;
        let wait = (ahead + 1.0) * service / self.lane_slots(batch);
        if wait + service > left * self.limits.patience {
            return Decision::Refuse(self.refusal(ResultCode::Overloaded, ask));
        }
        self.backlog.insert(ask, now);
        Decision::Wait
    }

    /// Takes a free slot of a sound server for a hedge; it never waits.
    pub fn offer_now(&mut self, now: Millis, ask: Ask) -> Option<ServerId> {
        if self.backlog.len(false) > 0 || self.load(now).free == 0 {
            return None;
        }
        let id = self.choose(now, ask.class, false)?;
        self.start(now, id, &ask);
        Some(id)
    }

    /// Takes in how a request ended at its server and frees the slot.
    pub fn done(&mut self, now: Millis, id: ServerId, ticket: Ticket, outcome: Outcome) {
        let Some(server) = self.servers.iter_mut().find(|s| s.id == id) else {
            return;
        };
        let Some(flight) = server.end(ticket) else {
            return;
        };
        let class = flight.class as usize;
        match outcome {
            Outcome::Answered { us } => {
                let sound = server.is_sound();
                let quick = server.health.answered(now, us, self.usual[class].us());
                server.ramp.answered(quick, server.slots);
                self.present[class].add(us);
                self.usual[class].add_usual(now, us, quick && sound);
            }
            Outcome::Shed => server.health.failed(now, self.usual[class].us()),
            // A lost connection is the only sign of a restart before its first answer.
            Outcome::Failed => {
                server.health.failed(now, self.usual[class].us());
                server.ramp = Ramp::cold();
            }
            Outcome::Cancelled => {
                let age = now.since(flight.sent);
                server.health.oldest(now, age, self.usual[class].us());
                server.ramp.cancelled();
            }
        }
        self.servers.retain(|s| !s.leaving || s.in_flight() > 0);
    }

    /// Gives up a waiting request; tells whether it waited, in which case it has not run.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.backlog.remove(ticket).is_some()
    }

    /// Returns the next request to send or to refuse.
    pub fn poll(&mut self, now: Millis) -> Option<Action> {
        self.earn(now);
        if let Some(action) = self.expire(now, false).or_else(|| self.expire(now, true)) {
            return Some(action);
        }
        if self.batch_due(now)
            && let Some(id) = self.choose(now, Class::Batch, true)
        {
            self.credit -= self.present[Class::Batch as usize].us();
            return self.dispatch(now, true, id);
        }
        if let Some(w) = self.backlog.first(false) {
            let class = w.ask.class;
            let id = self.choose(now, class, false)?;
            return self.dispatch(now, false, id);
        }
        self.backlog.first(true)?;
        let id = self.choose(now, Class::Batch, false)?;
        self.dispatch(now, true, id)
    }

    /// Returns the time at which [`Self::poll`] must be called even if nothing happens.
    #[must_use]
    pub fn wake(&self, now: Millis) -> Option<Millis> {
        let expiry = [false, true]
            .into_iter()
            .filter_map(|batch| self.backlog.first(batch))
            .map(|w| self.last_start(w))
            .min()?;
        let suspect = self.servers.iter().any(|s| s.health.is_suspect());
        let due = self.backlog.first(true).map(|w| self.due_at(w));
        let early = if suspect { now + Millis(10) } else { expiry };
        let next = expiry.min(early).min(due.unwrap_or(Millis::MAX));
        Some(next.max(now + Millis(1)))
    }

    /// Returns the load, exact for this gate and a hint for others.
    #[must_use]
    pub fn load(&mut self, now: Millis) -> Load {
        self.observe(now);
        let sound = || self.servers.iter().filter(|s| !s.health.is_suspect());
        let free = sound().map(Server::free).sum();
        let service = self.present[Class::Interactive as usize].us();
        let slots = self.lane_slots(false);
        let waiting = self.backlog.len(false) as u32;
        let wait = if free > 0 {
            0.0
        } else {
            f64::from(waiting + 1) * service / slots
        };
        let probe = self.servers.iter().any(|s| probe(s, now));
        Load {
            free,
            slots: sound().map(Server::limit).sum(),
            waiting: waiting + self.backlog.len(true) as u32,
            wait_us: wait as u32,
            service_us: service as u32,
            probe,
        }
    }

    /// Returns what is thought of a server's speed; `Persistent` is a reason for the controller to
    /// move its slices.
    #[must_use]
    pub fn verdict(&self, now: Millis, id: ServerId) -> Option<Verdict> {
        let server = self.servers.iter().find(|s| s.id == id)?;
        Some(server.health.verdict(now))
    }

    /// Returns a server's requests in flight.
    #[must_use]
    pub fn in_flight(&self, id: ServerId) -> u32 {
        let server = self.servers.iter().find(|s| s.id == id);
        server.map_or(0, Server::in_flight)
    }

    /// Chooses a free slot.
    ///
    /// Load: one of several servers turns slow. Harm prevented: the slow server, which has free
    /// slots like any other, keeps getting work. A sound server goes first, the one with the
    /// smallest part of its slots in use. A suspected one gets a single lookup as a probe when its
    /// rest is over, and otherwise work only where more than [`AVOIDED`] allows are suspected.
    fn choose(&mut self, now: Millis, class: Class, due: bool) -> Option<ServerId> {
        self.observe(now);
        let batch = class == Class::Batch;
        if class == Class::Interactive
            && let Some(s) = self.servers.iter().find(|s| probe(s, now))
        {
            return Some(s.id);
        }
        let suspects = self
            .servers
            .iter()
            .filter(|s| s.health.is_suspect())
            .count();
        let floor = suspects * AVOIDED > self.servers.len();
        let fits = |s: &&Server| s.free() > 0 && (!batch || s.takes_batch(due));
        let open = |s: &&Server| floor || !s.health.is_suspect();
        let rank = |s: &&Server| {
            let part = s.in_flight() * 1_024 / s.limit().max(1);
            (s.health.is_suspect(), part)
        };
        let best = self
            .servers
            .iter()
            .filter(fits)
            .filter(open)
            .min_by_key(rank);
        best.map(|s| s.id)
    }

    fn observe(&mut self, now: Millis) {
        let usual = self.usual;
        for s in &mut self.servers {
            s.observe(now, |class| usual[class as usize].us());
        }
    }

    fn start(&mut self, now: Millis, id: ServerId, ask: &Ask) {
        if let Some(s) = self.server(id) {
            s.start(now, ask.ticket, ask.class);
        }
    }

    fn dispatch(&mut self, now: Millis, batch: bool, id: ServerId) -> Option<Action> {
        let ticket = self.backlog.first(batch)?.ask.ticket;
        let ask = self.backlog.remove(ticket)?.ask;
        self.start(now, id, &ask);
        Some(Action::Send(ticket, id))
    }

    /// Refuses the oldest request that can't finish in time any more.
    fn expire(&mut self, now: Millis, batch: bool) -> Option<Action> {
        let w = self.backlog.first(batch)?;
        if now <= self.last_start(w) {
            return None;
        }
        let ask = w.ask;
        self.backlog.remove(ask.ticket);
        Some(Action::Refuse(
            ask.ticket,
            self.refusal(ResultCode::Overloaded, ask),
        ))
    }

    fn last_start(&self, w: &Waiting) -> Millis {
        let service = self.present[w.ask.class as usize].us() / 1_000.0;
        w.ask.deadline - Millis(service as u64)
    }

    /// Earns batch its share of slot time; it saves up no more than for two requests.
    fn earn(&mut self, now: Millis) {
        let us = now.since(self.earned).0 as f64 * 1_000.0;
        self.earned = now;
        let most = 2.0 * self.present[Class::Batch as usize].us();
        let share = us * self.lane_slots(false) * self.limits.batch_share;
        self.credit = (self.credit + share).min(most);
    }

    /// Tells whether the oldest batch request has waited so long that its guaranteed share counts.
    fn batch_due(&self, now: Millis) -> bool {
        let cost = self.present[Class::Batch as usize].us();
        let oldest = self.backlog.first(true);
        oldest.is_some_and(|w| now >= self.due_at(w)) && self.credit >= cost
    }

    /// A quarter of the time that its caller gave it, where that is shorter than the limit: batch
    /// with a short deadline would otherwise die before its share counts.
    fn due_at(&self, w: &Waiting) -> Millis {
        let quarter = Millis(w.ask.deadline.since(w.since).0 / 4);
        w.since + quarter.min(self.limits.batch_age)
    }

    fn lane_slots(&self, batch: bool) -> f64 {
        let usable = |s: &&Server| !s.leaving && !s.health.is_suspect();
        let slots = |s: &Server| s.limit() - u32::from(batch && s.limit() > 1);
        let sum: u32 = self.servers.iter().filter(usable).map(slots).sum();
        f64::from(sum.max(1))
    }

    fn refusal(&self, code: ResultCode, ask: Ask) -> Refusal {
        let batch = ask.class == Class::Batch;
        let waiting = self.backlog.len(batch) as f64;
        let drain = waiting * self.present[ask.class as usize].us() / self.lane_slots(batch);
        Refusal::new(code, drain as u64, ask.ticket)
    }

    fn server(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.iter_mut().find(|s| s.id == id)
    }
}

fn probe(s: &Server, now: Millis) -> bool {
    s.health.is_suspect() && s.health.may_probe(now) && s.in_flight() == 0 && s.free() > 0
}
