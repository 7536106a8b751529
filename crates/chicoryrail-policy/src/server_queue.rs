//! Admission, order and dispatch in front of the servers that one gate holds.

use chicoryrail_core::Class;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;

use crate::Action;
use crate::Ask;
use crate::Decision;
use crate::Limits;
use crate::Load;
use crate::Outcome;
use crate::Ramp;
use crate::Refusal;
use crate::ServerId;
use crate::Ticket;
use crate::Verdict;
use crate::admission::Admission;
use crate::admission::Prospect;
use crate::backlog::Backlog;
use crate::backlog::Waiting;
use crate::batch_share::BatchShare;
use crate::server::Server;
use crate::servers::Servers;
use crate::service_times::ServiceTimes;

/// Share of an owner's slots that a key with many waiting requests gets beside other keys.
///
/// Half: the owner's other keys together go undelayed up to half of its slots, and the hot key, which
/// no other server may serve, is never starved by them.
const KEY_SHARE: f64 = 0.5;

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
    servers: Servers,
    backlog: Backlog,
    admission: Admission,
    share: BatchShare,
    times: ServiceTimes,
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
            servers: Servers::default(),
            backlog: Backlog::default(),
            admission: Admission::default(),
            share: BatchShare::default(),
            times: ServiceTimes::new(limits.prior_us),
        }
    }

    /// Adds a server, or changes its slots: `ServerRoute.slots` of the route table.
    pub fn set_server(&mut self, id: ServerId, slots: u32) {
        self.servers.add(id, slots);
    }

    /// Starts a server's ramp from one in flight: the route table says `Cold`, or all of its
    /// connections broke and the next one may meet a fresh process.
    pub fn set_cold(&mut self, id: ServerId) {
        if let Some(s) = self.servers.get_mut(id) {
            s.ramp = Ramp::cold();
        }
    }

    /// Takes a server's instance id from an answer; a fresh one starts the ramp.
    pub fn set_instance(&mut self, id: ServerId, instance: u64) {
        if let Some(s) = self.servers.get_mut(id) {
            if s.instance != 0 && s.instance != instance {
                s.ramp = Ramp::cold();
            }
            s.instance = instance;
        }
    }

    /// Sends a server no new work; what is in flight ends in its own time.
    pub fn remove_server(&mut self, id: ServerId) {
        if let Some(s) = self.servers.get_mut(id) {
            s.leaving = true;
        }
        self.servers.forget_left();
    }

    /// Offers a request: it is sent, waits, or is refused at once with the time at which a return
    /// makes sense.
    pub fn offer(&mut self, now: Millis, ask: Ask) -> Decision {
        if self.servers.all_leave() {
            return Decision::Refuse(Refusal::new(ResultCode::NoServer, 0, ask.ticket));
        }
        let left = ask.deadline.since(now).0 as f64 * 1_000.0;
        let spare = left - self.times.hopeless(now, ask.class);
        if spare < 0.0 {
            return Decision::Refuse(self.refusal(now, ResultCode::DeadlinePassed, ask));
        }
        let batch = ask.class == Class::Batch;
        let first = self.backlog.len(false) == 0 && (!batch || self.backlog.len(true) == 0);
        if first && let Some(id) = self.choose(now, ask.class, false) {
            self.start(now, id, &ask);
            return Decision::Send(id);
        }
        let rank = self.rank(&ask);
        let prospect = self.prospect(&ask, rank, spare);
        if self.backlog.len(false) == 0 {
            self.admission.found_empty(now);
        }
        if !self.admission.admits(now, &self.limits, prospect) {
            return Decision::Refuse(self.refusal(now, ResultCode::Overloaded, ask));
        }
        let since = now;
        self.backlog.insert(Waiting { ask, since, rank });
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
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let Some(flight) = server.end(ticket) else {
            return;
        };
        let usual = self.times.usual(flight.class);
        match outcome {
            Outcome::Answered { us } => {
                let sound = server.is_sound();
                let quick = server.health.answered(now, us, usual);
                server.ramp.answered(us, usual, server.slots);
                self.times.add(now, flight.class, us, quick && sound);
            }
            Outcome::Shed => server.health.failed(now, usual),
            // A lost connection is the only sign of a restart before its first answer.
            Outcome::Failed => {
                server.health.failed(now, usual);
                server.ramp = Ramp::cold();
            }
            Outcome::Cancelled => {
                server.health.oldest(now, now.since(flight.sent), usual);
                server.ramp.cancelled();
            }
        }
        self.servers.forget_left();
    }

    /// Gives up a waiting request; tells whether it waited, in which case it has not run.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.backlog.remove(ticket).is_some()
    }

    /// Returns the next request to send or to refuse.
    pub fn poll(&mut self, now: Millis) -> Option<Action> {
        let cost = self.times.present(Class::Batch);
        let slots = self.servers.lane_slots(false);
        self.share.earn(now, &self.limits, slots, cost);
        if let Some(action) = self.expire(now, false).or_else(|| self.expire(now, true)) {
            return Some(action);
        }
        if self.batch_due(now)
            && self.share.covers(cost)
            && let Some(id) = self.choose(now, Class::Batch, true)
        {
            self.share.spend(cost);
            return self.dispatch(now, true, id);
        }
        let urgent = self.backlog.first(false).map(|w| w.ask.class);
        let class = urgent.or_else(|| self.backlog.first(true).map(|w| w.ask.class))?;
        let id = self.choose(now, class, false)?;
        self.dispatch(now, urgent.is_none(), id)
    }

    /// Returns the time at which [`Self::poll`] must be called even if nothing happens.
    #[must_use]
    pub fn wake(&self, now: Millis) -> Option<Millis> {
        let expiry = [false, true]
            .into_iter()
            .filter_map(|batch| self.backlog.earliest(batch))
            .map(|w| self.last_start(now, w) + Millis(1))
            .min()?;
        let due = self.backlog.first(true);
        let due = due.map_or(Millis::MAX, |w| BatchShare::due_at(&self.limits, w));
        // A rest or a ramp may end; ten milliseconds are a small part of the shortest rest.
        let rested = if self.servers.any_suspect() || due <= now {
            now + Millis(10)
        } else {
            due
        };
        Some(expiry.min(rested).max(now + Millis(1)))
    }

    /// Returns the load, exact for this gate and a hint for others.
    #[must_use]
    pub fn load(&mut self, now: Millis) -> Load {
        self.servers.observe(now, &self.times);
        let free = self.servers.sound_free();
        let service = self.times.present(Class::Interactive);
        let waiting = self.backlog.len(false) as u32;
        let wait = if free > 0 {
            0.0
        } else {
            f64::from(waiting + 1) * service / self.servers.lane_slots(false)
        };
        Load {
            free,
            slots: self.servers.sound_slots(),
            waiting: waiting + self.backlog.len(true) as u32,
            wait_us: wait as u32,
            service_us: service as u32,
            probe: self.servers.wants_probe(now),
        }
    }

    /// Returns what is thought of a server's speed; `Persistent` is a reason for the controller to
    /// move its slices.
    #[must_use]
    pub fn verdict(&self, now: Millis, id: ServerId) -> Option<Verdict> {
        self.servers.get(id).map(|s| s.health.verdict(now))
    }

    /// Returns a server's requests in flight.
    #[must_use]
    pub fn in_flight(&self, id: ServerId) -> u32 {
        self.servers.get(id).map_or(0, Server::in_flight)
    }

    /// Returns the most requests that a server may have in flight now: its slots, or what its ramp
    /// allows.
    #[must_use]
    pub fn limit(&self, id: ServerId) -> u32 {
        self.servers.get(id).map_or(0, Server::limit)
    }

    fn choose(&mut self, now: Millis, class: Class, due: bool) -> Option<ServerId> {
        self.servers.observe(now, &self.times);
        self.servers.choose(now, class, due)
    }

    fn start(&mut self, now: Millis, id: ServerId, ask: &Ask) {
        if let Some(s) = self.servers.get_mut(id) {
            s.start(now, ask.ticket, ask.class);
        }
    }

    fn dispatch(&mut self, now: Millis, batch: bool, id: ServerId) -> Option<Action> {
        let ticket = self.backlog.first(batch)?.ask.ticket;
        let ask = self.backlog.remove(ticket)?.ask;
        self.start(now, id, &ask);
        Some(Action::Send(ticket, id))
    }

    /// Returns a request's place in the order: its deadline, put back by the time that the requests
    /// of its own key need which wait already.
    ///
    /// Load: one key of an owner gets more than the owner can do. Harm prevented: the owner's other
    /// keys wait behind it and are refused with it. Each key so waits for its own requests and is
    /// overtaken by keys that have none waiting, down to [`KEY_SHARE`]; a free service has no keys
    /// and keeps the order of deadlines.
    fn rank(&self, ask: &Ask) -> Millis {
        if ask.key == 0 {
            return ask.deadline;
        }
        let own = f64::from(self.backlog.of_key(ask.key));
        let slots = self.servers.lane_slots(ask.class == Class::Batch) * KEY_SHARE;
        let us = own * self.times.present(ask.class) / slots;
        ask.deadline + Millis((us / 1_000.0) as u64)
    }

    fn prospect(&self, ask: &Ask, rank: Millis, spare: f64) -> Prospect {
        let batch = ask.class == Class::Batch;
        let ahead = self.backlog.ahead(batch, rank) as f64;
        let slots = self.servers.lane_slots(batch);
        let own = rank.since(ask.deadline).0 as f64 * 1_000.0;
        let wait = own.max((ahead + 1.0) * self.times.present(ask.class) / slots);
        Prospect {
            ahead,
            slots,
            wait,
            spare,
            batch,
        }
    }

    /// Refuses the oldest request that can't finish in time any more.
    fn expire(&mut self, now: Millis, batch: bool) -> Option<Action> {
        let w = self.backlog.earliest(batch)?;
        if now <= self.last_start(now, w) {
            return None;
        }
        let ask = w.ask;
        self.backlog.remove(ask.ticket);
        let refusal = self.refusal(now, ResultCode::Overloaded, ask);
        Some(Action::Refuse(ask.ticket, refusal))
    }

    fn last_start(&self, now: Millis, w: &Waiting) -> Millis {
        let service = self.times.hopeless(now, w.ask.class) / 1_000.0;
        w.ask.deadline - Millis(service as u64)
    }

    fn batch_due(&self, now: Millis) -> bool {
        let oldest = self.backlog.first(true);
        oldest.is_some_and(|w| now >= BatchShare::due_at(&self.limits, w))
    }

    /// Advises a return when the present queue is worked off. A queue that stands is short, and
    /// tells nothing of when the load ends; a return before the time after which it counted as
    /// standing would only meet it again.
    fn refusal(&self, now: Millis, code: ResultCode, ask: Ask) -> Refusal {
        let batch = ask.class == Class::Batch;
        let waiting = self.backlog.len(batch) as f64;
        let drain = waiting * self.times.present(ask.class) / self.servers.lane_slots(batch);
        let least = if self.admission.stood(now) {
            self.limits.standing.0 * 1_000
        } else {
            0
        };
        Refusal::new(code, least.max(drain as u64), ask.ticket)
    }
}
