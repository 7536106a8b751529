//! Several gates that call the decisions of `chicoryrail-policy`, each with some of the targets.

use chicoryrail_core::Class;
use chicoryrail_core::Millis;
use chicoryrail_policy::Action;
use chicoryrail_policy::Ask;
use chicoryrail_policy::Choice;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Hedge;
use chicoryrail_policy::Load;
use chicoryrail_policy::Outcome;
use chicoryrail_policy::PeerId;
use chicoryrail_policy::Picker;
use chicoryrail_policy::RetryBudget;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerQueue;
use chicoryrail_policy::Ticket;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::policy::case::Case;
use crate::policy::event::Event;
use crate::policy::request::End;
use crate::policy::request::State;
use crate::policy::world::Core;

/// One way between two gates, in microseconds.
const HOP_US: u64 = 250;

struct Gate {
    /// One queue for a free service, one for each held server of a keyed one.
    queues: Vec<ServerQueue>,
    wakes: Vec<Millis>,
    peers: Vec<PeerId>,
    picker: Picker,
    hedge: Hedge,
    retry: RetryBudget,
}

/// Gates that hold the targets in turn: target `s` is held by gate `s % gates`.
pub(crate) struct Gates {
    gates: Vec<Gate>,
    keyed: bool,
    rng: Pcg64Mcg,
}

impl Gates {
    pub(crate) fn new(case: &Case, seed: u64) -> Self {
        let keyed = case.keys > 0;
        let gate = |g: usize| {
            let held = (g..case.servers).step_by(case.gates);
            let mut queues = Vec::new();
            for s in held {
                if keyed || queues.is_empty() {
                    queues.push(ServerQueue::default());
                }
                let queue = queues.last_mut().expect("one was just pushed");
                queue.set_server(ServerId(s as u32), case.slots);
            }
            let peers = (0..case.gates).filter(|p| *p != g);
            Gate {
                wakes: vec![Millis::MAX; queues.len()],
                queues,
                peers: peers.map(|p| PeerId(p as u32)).collect(),
                picker: Picker::default(),
                hedge: Hedge::default(),
                retry: RetryBudget::default(),
            }
        };
        Self {
            gates: (0..case.gates).map(gate).collect(),
            keyed,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6a7e),
        }
    }

    pub(crate) fn arrive(&mut self, core: &mut Core, request: usize) {
        let home = self.rng.random_range(0..self.gates.len());
        self.gates[home].hedge.earn();
        self.gates[home].retry.earn();
        self.place(core, request, home);
        let class = core.requests[request].class;
        if let Some(us) = self.gates[home].hedge.late_us(class, self.keyed) {
            // A gate's timers have steps of a millisecond.
            let late = u64::from(us).next_multiple_of(1_000);
            core.at(core.now + late, Event::Hedge(request));
        }
    }

    pub(crate) fn event(&mut self, core: &mut Core, event: Event) {
        match event {
            Event::Offer(copy, only_free, load) => {
                let home = PeerId(self.home(core, copy) as u32);
                let gate = core.copies[copy].gate;
                self.gates[gate].picker.heard(core.millis(), home, load);
                if only_free {
                    self.offer_now(core, copy);
                } else {
                    self.offer(core, copy);
                }
            }
            Event::Back(copy, end, load) => {
                let peer = PeerId(core.copies[copy].gate as u32);
                let home = self.home(core, copy);
                self.gates[home].picker.heard(core.millis(), peer, load);
                core.copies[copy].state = State::Ended;
                self.back(core, copy, end);
            }
            Event::Cancel(copy) => self.cancel(core, copy),
            Event::Hedge(request) => self.hedge(core, request),
            Event::Wake(gate, queue) => {
                self.gates[gate].wakes[queue] = Millis::MAX;
                self.poll(core, gate, queue);
            }
            _ => {}
        }
    }

    /// Takes in a copy's end at its target.
    pub(crate) fn ended(&mut self, core: &mut Core, copy: usize, end: End) {
        let c = core.copies[copy];
        let us = (core.now - c.sent) as u32;
        let outcome = match end {
            End::Answered => Outcome::Answered { us },
            End::Refused => Outcome::Shed,
            End::Cut => Outcome::Failed,
        };
        let (gate, queue) = self.place_of(c.server);
        let q = &mut self.gates[gate].queues[queue];
        let server = ServerId(c.server as u32);
        q.done(core.millis(), server, Ticket(copy as u64), outcome);
        if end == End::Answered {
            q.set_instance(server, 1 + core.targets[c.server].instance);
        }
        self.poll(core, gate, queue);
        self.reply(core, copy, Some(end));
    }

    pub(crate) fn set_cold(&mut self, server: usize) {
        let (gate, queue) = self.place_of(server);
        self.gates[gate].queues[queue].set_cold(ServerId(server as u32));
    }

    /// Cancels every copy but one.
    pub(crate) fn cancel_all(&mut self, core: &mut Core, request: usize, but: Option<usize>) {
        for copy in core.requests[request].copies.clone() {
            if Some(copy) != but && core.copies[copy].state != State::Ended {
                if self.is_own(core, copy) {
                    self.cancel(core, copy);
                } else {
                    core.at(core.now + HOP_US, Event::Cancel(copy));
                }
            }
        }
    }

    fn place(&mut self, core: &mut Core, request: usize, home: usize) {
        let gate = match core.requests[request].owner {
            Some(owner) => owner % self.gates.len(),
            None => {
                let own = self.load(core, home);
                let g = &self.gates[home];
                match g.picker.pick(core.millis(), &mut self.rng, own, &g.peers) {
                    Some(Choice::Peer(p)) => p.0 as usize,
                    Some(Choice::Own) | None => home,
                }
            }
        };
        self.go(core, request, home, gate, false);
    }

    fn go(&mut self, core: &mut Core, request: usize, home: usize, gate: usize, only_free: bool) {
        let copy = core.copy(request, gate);
        core.requests[request].home = home;
        match (gate == home, only_free) {
            (true, false) => self.offer(core, copy),
            (true, true) => self.offer_now(core, copy),
            (false, _) => {
                self.gates[home].picker.sent(PeerId(gate as u32));
                let load = self.load(core, home).unwrap_or_default();
                core.at(core.now + HOP_US, Event::Offer(copy, only_free, load));
            }
        }
    }

    fn offer(&mut self, core: &mut Core, copy: usize) {
        let (gate, queue, ask) = self.ask(core, copy);
        if core.requests[core.copies[copy].request].done {
            core.copies[copy].state = State::Ended;
            return;
        }
        match self.gates[gate].queues[queue].offer(core.millis(), ask) {
            Decision::Send(server) => core.send(copy, server.0 as usize),
            Decision::Wait => {
                core.copies[copy].state = State::Waiting;
                self.set_wake(core, gate, queue);
            }
            Decision::Refuse(_) => self.refused(core, copy),
        }
    }

    fn offer_now(&mut self, core: &mut Core, copy: usize) {
        let (gate, queue, ask) = self.ask(core, copy);
        let done = core.requests[core.copies[copy].request].done;
        let free = !done && core.copies[copy].state == State::Asked;
        let server = free.then(|| self.gates[gate].queues[queue].offer_now(core.millis(), ask));
        match server.flatten() {
            Some(server) => core.send(copy, server.0 as usize),
            None => {
                let home = self.home(core, copy);
                self.gates[home].hedge.give_back();
                self.refused(core, copy);
            }
        }
    }

    fn refused(&mut self, core: &mut Core, copy: usize) {
        core.copies[copy].state = State::Ended;
        self.reply(core, copy, None);
    }

    fn reply(&mut self, core: &mut Core, copy: usize, end: Option<End>) {
        if self.is_own(core, copy) {
            self.back(core, copy, end);
        } else {
            core.copies[copy].state = State::Returning;
            let load = self.load(core, core.copies[copy].gate).unwrap_or_default();
            core.at(core.now + HOP_US, Event::Back(copy, end, load));
        }
    }

    fn back(&mut self, core: &mut Core, copy: usize, end: Option<End>) {
        let request = core.copies[copy].request;
        let r = &core.requests[request];
        if r.done {
            return;
        }
        let home = r.home;
        let last = !core.has_other(request, copy);
        match end {
            Some(End::Answered) => {
                let us = (core.now - r.at) as u32;
                self.gates[home].hedge.answered(core.millis(), us);
                core.answer(request);
                self.cancel_all(core, request, Some(copy));
            }
            None if last => core.refuse(request),
            // No slot was free where the hedge went: the next place is tried.
            None => self.hedge(core, request),
            Some(how) if last => {
                let idempotent = r.class != Class::Order;
                let again =
                    !r.retried && self.gates[home].retry.take(how == End::Refused, idempotent);
                if again {
                    core.requests[request].retried = true;
                    self.place(core, request, home);
                } else {
                    core.fail(request);
                }
            }
            _ => {}
        }
    }

    fn hedge(&mut self, core: &mut Core, request: usize) {
        let r = &core.requests[request];
        if r.done || r.copies.len() > Hedge::PLACES {
            return;
        }
        let (home, first) = (r.home, r.copies[0]);
        let gate = core.copies[first].gate;
        let not = if gate == home {
            Choice::Own
        } else {
            Choice::Peer(PeerId(gate as u32))
        };
        let own = self.load(core, home);
        let g = &self.gates[home];
        let now = core.millis();
        let second = g.picker.pick_free(now, &mut self.rng, own, &g.peers, not);
        let to = match second {
            Some(Choice::Peer(p)) => p.0 as usize,
            Some(Choice::Own) => home,
            None => return,
        };
        if !self.gates[home].hedge.take(1) {
            return;
        }
        self.go(core, request, home, to, true);
    }

    fn cancel(&mut self, core: &mut Core, copy: usize) {
        let c = core.copies[copy];
        let ticket = Ticket(copy as u64);
        let now = core.millis();
        match c.state {
            State::Running => {
                core.end(copy);
                let (gate, queue) = self.place_of(c.server);
                let q = &mut self.gates[gate].queues[queue];
                q.done(now, ServerId(c.server as u32), ticket, Outcome::Cancelled);
                self.poll(core, gate, queue);
            }
            State::Waiting => {
                let (gate, queue, _) = self.ask(core, copy);
                self.gates[gate].queues[queue].cancel(ticket);
            }
            State::Asked | State::Returning | State::Ended => {}
        }
        core.copies[copy].state = State::Ended;
    }

    fn poll(&mut self, core: &mut Core, gate: usize, queue: usize) {
        let now = core.millis();
        while let Some(action) = self.gates[gate].queues[queue].poll(now) {
            match action {
                Action::Send(ticket, server) => core.send(ticket.0 as usize, server.0 as usize),
                Action::Refuse(ticket, _) => self.refused(core, ticket.0 as usize),
            }
        }
        self.set_wake(core, gate, queue);
    }

    fn set_wake(&mut self, core: &mut Core, gate: usize, queue: usize) {
        let g = &mut self.gates[gate];
        if let Some(t) = g.queues[queue].wake(core.millis())
            && t < g.wakes[queue]
        {
            g.wakes[queue] = t;
            core.at(t.0 * 1_000, Event::Wake(gate, queue));
        }
    }

    fn ask(&self, core: &Core, copy: usize) -> (usize, usize, Ask) {
        let c = core.copies[copy];
        let r = &core.requests[c.request];
        let deadline = Millis(r.deadline / 1_000);
        let ask = Ask::new(Ticket(copy as u64), r.class, deadline).key(r.key);
        let queue = r.owner.map_or(0, |s| self.place_of(s).1);
        (c.gate, queue, ask)
    }

    const fn place_of(&self, server: usize) -> (usize, usize) {
        let n = self.gates.len();
        (server % n, if self.keyed { server / n } else { 0 })
    }

    fn home(&self, core: &Core, copy: usize) -> usize {
        core.requests[core.copies[copy].request].home
    }

    fn is_own(&self, core: &Core, copy: usize) -> bool {
        self.home(core, copy) == core.copies[copy].gate
    }

    fn load(&mut self, core: &Core, gate: usize) -> Option<Load> {
        let now = core.millis();
        self.gates[gate].queues.first_mut().map(|q| q.load(now))
    }
}
