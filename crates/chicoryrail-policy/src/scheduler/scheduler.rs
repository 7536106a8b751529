//! The scheduler of one service.

use std::collections::BTreeMap;

use chicoryrail_core::Millis;

use crate::ServerId;
use crate::scheduler::Decision;
use crate::scheduler::Placement;
use crate::scheduler::SlotRelease;
use crate::scheduler::SlotRequest;
use crate::scheduler::SlotState;
use crate::scheduler::load_view::LoadView;
use crate::scheduler::server_slots::ServerSlots;

/// Part of a caller's time for which a request may wait at the most: it must have time left to come back
/// and be served elsewhere, should it be refused after all.
const WAIT_TIME_PART: f64 = 0.6;

/// Time for which requests must have waited at a place without a break before its queue counts as standing: a
/// burst is over by then, and what waits longer is overload.
const STANDING_QUEUE_TIME: Millis = Millis(1_000);

/// The scheduler of one service.
///
/// Load: more requests than slots, for moments or for good. Harm prevented: requests that can still be
/// answered within their aim wait behind some that can't; requests wait until their callers give up,
/// having kept a place all the while. The queue's order is: who can still meet its aim, by rank and then
/// by the time left for it; then the others by deadline. What has no prospect of an answer in time is
/// refused as soon as that is seen, with the time after which there may be room.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    servers: BTreeMap<ServerId, ServerSlots>,
    waiting: Vec<Waiting>,
    /// Servers whose keys' requests wait, and since when some always did.
    queues: Vec<(Placement, Millis)>,
}

#[derive(Clone, Debug)]
struct Waiting {
    ask: SlotRequest,
    since: Millis,
    place: Placement,
}

impl Scheduler {
    /// Adds a server, or takes in its state.
    pub fn set(&mut self, now: Millis, server: ServerId, state: SlotState) {
        self.servers
            .entry(server)
            .or_insert_with(|| ServerSlots::new(now, state))
            .set(now, state);
    }

    /// Forgets the servers that are not kept.
    pub fn retain(&mut self, keep: impl Fn(ServerId) -> bool) {
        self.servers.retain(|id, _| keep(*id));
    }

    /// Returns the number of servers that it knows.
    #[must_use]
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// Takes in a request; [`Scheduler::poll`] says what becomes of it. One that asks again is the same one.
    ///
    /// Returns the server that it was given before, where the reply was lost.
    pub fn ask(&mut self, now: Millis, ask: SlotRequest) -> Option<ServerId> {
        let servers = self.servers.iter();
        let given = servers
            .filter(|(_, s)| s.holds(ask.ticket))
            .map(|(id, _)| *id)
            .next();
        if given.is_none() && !self.waiting.iter().any(|w| w.ask.ticket == ask.ticket) {
            self.waiting.push(Waiting {
                ask,
                since: now,
                place: Placement::Any,
            });
        }
        given
    }

    /// Takes a request back whose caller has left.
    pub fn leave(&mut self, ticket: u64) {
        self.waiting.retain(|w| w.ask.ticket != ticket);
    }

    /// Iterates over the requests that wait for the server of a key, with their keys.
    pub fn waiting_keys(&self) -> impl Iterator<Item = (u64, u16)> {
        let waiting = self.waiting.iter();
        waiting.filter_map(|w| Some((w.ask.ticket, w.ask.key?)))
    }

    /// Takes in how a send ended.
    pub fn ended(&mut self, now: Millis, end: &SlotRelease) {
        if let Some(slots) = self.servers.get_mut(&end.server) {
            slots.end(now, end.ticket, end.us, end.failure, end.report);
        }
    }

    /// Returns the verdicts that are due; `place` tells where a key's requests may go.
    pub fn poll(&mut self, now: Millis, place: impl Fn(u16) -> Placement) -> Vec<(u64, Decision)> {
        if self.waiting.is_empty() {
            self.queues.clear();
            return Vec::new();
        }
        for slots in self.servers.values_mut() {
            slots.expire(now);
        }
        let servers = self.servers.iter().map(|(id, slots)| (*id, slots));
        let mut view = LoadView::of(now, servers);
        for waiting in &mut self.waiting {
            waiting.place = waiting.ask.key.map_or(Placement::Any, &place);
        }
        self.order(now, &view);
        let mut verdicts = Vec::new();
        // Work of those that go before, by where they may go.
        let mut ahead: Vec<(Placement, f64)> = Vec::new();
        let queue = std::mem::take(&mut self.waiting);
        for waiting in queue {
            match self.judge(now, &waiting, &mut ahead, &mut view) {
                Some(verdict) => verdicts.push((waiting.ask.ticket, verdict)),
                None => self.waiting.push(waiting),
            }
        }
        self.note_queues(now);
        verdicts
    }

    /// Decides about one request, behind the work of those before it.
    fn judge(
        &mut self,
        now: Millis,
        waiting: &Waiting,
        ahead: &mut Vec<(Placement, f64)>,
        view: &mut LoadView,
    ) -> Option<Decision> {
        let Waiting { ask, place, .. } = waiting;
        let at = ahead.iter().position(|(p, _)| p == place);
        let at = at.unwrap_or_else(|| {
            ahead.push((*place, 0.0));
            ahead.len() - 1
        });
        if let Some(server) = view.server_for(ask, *place, ahead[at].1) {
            if let Some(slots) = self.servers.get_mut(&server) {
                slots.send(now, ask.ticket, ask.deadline, ask.work_us);
                view.sent(server, slots);
            }
            return Some(Decision::Send(server));
        }
        if let Err(after) = self.prospect(now, waiting, ahead[at].1, view) {
            return Some(Decision::Refuse(after));
        }
        ahead[at].1 += ask.work_us;
        None
    }

    /// Notes for which servers' keys requests wait, and for which none does any more.
    fn note_queues(&mut self, now: Millis) {
        let waits = |place: Placement| self.waiting.iter().any(|w| w.place == place);
        self.queues.retain(|(place, _)| waits(*place));
        for waiting in &self.waiting {
            let keyed = matches!(waiting.place, Placement::Owner(_));
            if keyed && !self.queues.iter().any(|(place, _)| *place == waiting.place) {
                self.queues.push((waiting.place, now));
            }
        }
    }

    /// Tells whether the one server that may take a key's requests has more to do than it can, for longer than
    /// a burst lasts.
    fn stands(&self, now: Millis, place: Placement) -> bool {
        let mut queues = self.queues.iter().filter(|(p, _)| *p == place);
        queues.any(|(_, since)| now.since(*since) >= STANDING_QUEUE_TIME)
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the requests at the servers for which this host schedules, and the slots of those that take work.
    #[must_use]
    pub fn filled(&self) -> (usize, u32) {
        let servers = self.servers.values().filter(|s| s.state.ours);
        let busy = servers.clone().map(ServerSlots::busy).sum();
        let slots = servers
            .filter(|s| s.state.open)
            .map(|s| s.state.slots)
            .sum();
        (busy, slots)
    }

    /// Returns the slots that are free at this moment.
    #[must_use]
    pub fn free(&self, now: Millis) -> usize {
        let servers = self.servers.values();
        servers.map(|s| s.free(now)).sum()
    }

    /// Returns how fast a server is by what was seen of it: above 1 is slower than usual.
    #[must_use]
    pub fn speed(&self, server: ServerId) -> f64 {
        self.servers.get(&server).map_or(1.0, ServerSlots::speed)
    }

    /// Returns the usual slots that do as much work as a server's limit lets through; `None` where it names none.
    #[must_use]
    pub fn limited_slots(&self, server: ServerId) -> Option<f64> {
        self.servers.get(&server)?.limited_slots()
    }

    /// Sorts the queue; see [`Scheduler`].
    fn order(&mut self, now: Millis, view: &LoadView) {
        let key = |w: &Waiting| {
            let soonest = view.answer_in(&w.ask, w.place, 0.0);
            let in_time = soonest.is_some_and(|us| now + millis(us) <= w.ask.aim);
            if in_time {
                (0, w.ask.rank, w.ask.aim)
            } else {
                (1, 0, w.ask.deadline)
            }
        };
        self.waiting.sort_by_cached_key(key);
    }

    /// Tells whether a request may go on waiting behind so much work; otherwise when there may be room.
    fn prospect(
        &self,
        now: Millis,
        waiting: &Waiting,
        ahead: f64,
        view: &LoadView,
    ) -> Result<(), Millis> {
        let ask = &waiting.ask;
        let left = ask.deadline.since(now).0 as f64 * 1_000.0;
        let Some(us) = view.answer_in(ask, waiting.place, ahead) else {
            return Err(millis(ask.work_us));
        };
        // In a standing queue whoever can still meet its aim overtakes those that can't, so these would wait in
        // vain. They are refused at once.
        let in_aim = ask.aim.since(now).0 as f64 * 1_000.0;
        if us > in_aim && self.stands(now, waiting.place) {
            return Err(millis((us - in_aim).max(ask.work_us * 0.5)));
        }
        let whole = ask.deadline.since(waiting.since).0 as f64;
        let waited = now.since(waiting.since).0 as f64;
        if us <= left && waited <= whole * WAIT_TIME_PART {
            return Ok(());
        }
        Err(millis((us - left).max(ask.work_us * 0.5)))
    }
}

fn millis(us: f64) -> Millis {
    Millis((us / 1_000.0) as u64)
}
