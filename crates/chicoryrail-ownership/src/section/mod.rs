//! One section of a service, as its holder drives it.

mod act;
mod calls;
mod gates;
mod load;
mod moves;
mod view;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

pub use act::Act;
use chicoryrail_core::Epoch;
use chicoryrail_core::Fence;
use chicoryrail_core::Kind;
use chicoryrail_core::Millis;
use chicoryrail_core::Server;
use chicoryrail_core::ServerName;
use chicoryrail_core::Service;
use chicoryrail_core::Slice;
pub use gates::GateSeat;
pub use moves::Handoff;
pub use view::Routes;
pub use view::ServerView;
pub use view::SliceView;
pub use view::Work;

use crate::Answer;
use crate::AssignRecord;
use crate::Assignment;
use crate::Balance;
use crate::GateRoutes;
use crate::Health;
use crate::Ramp;
use crate::Session;
use crate::Timing;

/// The servers, sessions, slices and moves of one section.
///
/// All that happens comes in as a call with the time; all that has to be done goes out as [`Act`]s.
/// The caller of [`Section::tick`] checks right before it that it may act as the holder.
#[derive(Clone, Debug)]
pub struct Section {
    timing: Timing,
    service: Service,
    part: u32,
    fence: Fence,
    table: Assignment,
    servers: BTreeMap<ServerName, Server>,
    sessions: BTreeMap<ServerName, Session>,
    outs: BTreeSet<ServerName>,
    moves: BTreeMap<usize, Handoff>,
    gates: GateRoutes,
    seats: BTreeMap<ServerName, GateSeat>,
    writing: bool,
    fresh: bool,
    inherited: Millis,
    deputy: Option<Fence>,
    ramps: BTreeMap<ServerName, Ramp>,
    away: BTreeSet<ServerName>,
    balance: Balance,
    split: bool,
    asks: bool,
    /// Servers that a slice was taken from since the last version.
    left: Vec<ServerName>,
    ticked: Millis,
    view: Routes,
}

impl Section {
    /// Takes a section over at `now`, in `epoch`, with the stored table where there is one.
    ///
    /// Whatever an earlier holder granted or told gates may be valid until the lengths of a session
    /// and of a route after `now`.
    #[must_use]
    pub fn new(
        now: Millis,
        epoch: Epoch,
        service: Service,
        part: u32,
        stored: Option<&AssignRecord>,
        timing: Timing,
    ) -> Self {
        let section = Slice::FULL.part(part, service.parts.max(1));
        let mut table = stored.map_or_else(
            || Assignment::cut(&service, part),
            |r| Assignment::from_record(r, section),
        );
        if service.kind == Kind::Free {
            table = Assignment::empty();
        } else {
            table.split(&service);
        }
        let inherited = match stored {
            Some(_) => now + timing.others(timing.route.max(timing.session)),
            None if epoch > Epoch(1) => now + timing.others(timing.route),
            None => now,
        };
        let version = stored.map_or(0, |r| r.fence.version);
        let mut all = Self {
            timing,
            part,
            fence: Fence { epoch, version },
            table,
            servers: BTreeMap::new(),
            sessions: BTreeMap::new(),
            outs: BTreeSet::new(),
            moves: BTreeMap::new(),
            gates: GateRoutes::default(),
            seats: BTreeMap::new(),
            writing: false,
            fresh: true,
            inherited,
            deputy: None,
            ramps: BTreeMap::new(),
            away: BTreeSet::new(),
            balance: Balance::default(),
            split: false,
            asks: false,
            left: Vec::new(),
            ticked: now,
            view: Routes::default(),
            service,
        };
        all.take_servers(now);
        all
    }

    /// Takes in a new configuration of the service, and the servers that are out.
    pub fn configure(&mut self, now: Millis, service: &Service, outs: BTreeSet<ServerName>) {
        self.outs = outs;
        if self.service != *service {
            self.service = service.clone();
            self.take_servers(now);
            self.split = true;
        }
    }

    /// Returns the order of the table in force.
    #[must_use]
    pub const fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the routes in force.
    #[must_use]
    pub const fn routes(&self) -> &Routes {
        &self.view
    }

    /// Returns the slices with their owners.
    #[must_use]
    pub const fn table(&self) -> &Assignment {
        &self.table
    }

    /// Returns what gates believe.
    pub const fn gates_mut(&mut self) -> &mut GateRoutes {
        &mut self.gates
    }

    /// Tells whether a planned move waits for a sign of life of the store, and forgets it.
    pub const fn asks_store(&mut self) -> bool {
        std::mem::replace(&mut self.asks, false)
    }

    /// Tells whether nothing moves and nothing is being written.
    #[must_use]
    pub fn is_still(&self) -> bool {
        self.moves.is_empty() && !self.writing
    }

    /// Returns the session of a server.
    #[must_use]
    pub fn session(&self, server: &ServerName) -> Option<&Session> {
        self.sessions.get(server)
    }

    /// Takes in a server's answer to a call.
    pub fn answered(&mut self, now: Millis, server: &ServerName, answer: Answer) {
        if let Some(session) = self.sessions.get_mut(server) {
            let changed = session.answered(now, answer);
            if changed {
                self.ramps.entry(server.clone()).or_default().chill(now);
            }
        }
    }

    /// Takes in that a server gave no answer.
    pub fn silent(&mut self, server: &ServerName) {
        if let Some(session) = self.sessions.get_mut(server) {
            session.silent();
        }
    }

    /// Takes in that the section has a deputy which has acknowledged nothing yet, or none.
    pub fn set_deputy(&mut self, named: bool) {
        self.deputy = named.then(Fence::default);
    }

    /// Takes in what the deputy acknowledges, and how long it has been quiet: what it told gates and
    /// servers before may still be valid.
    pub fn deputy_known(&mut self, now: Millis, known: Fence, quiet: Millis) {
        if let Some(deputy) = &mut self.deputy {
            *deputy = known.max(*deputy);
        }
        let longest = self
            .timing
            .others(self.timing.route.max(self.timing.session));
        if quiet < longest {
            self.inherit(now + (longest - quiet));
        }
    }

    /// Goes on in a higher epoch that this holder took from itself, to be rid of its deputy; the old
    /// one's right has run out at `from`.
    pub fn raise(&mut self, epoch: Epoch, from: Millis, deputy: bool) {
        self.fence.epoch = epoch;
        self.set_deputy(deputy);
        self.inherit(
            from + self
                .timing
                .others(self.timing.route.max(self.timing.session)),
        );
    }

    /// Returns the servers whose sessions the deputy may renew: those that answer, and hold nothing
    /// that they should not.
    #[must_use]
    pub fn renewable(&self, now: Millis) -> Vec<ServerName> {
        let sound = |n: &&ServerName| {
            let (mut owned, releasing) = self.wanted(n);
            owned.extend(releasing);
            self.health(now, n) == Health::Up && self.sessions[*n].holds_within(&owned)
        };
        self.sessions.keys().filter(sound).cloned().collect()
    }

    /// Takes in that somebody else may have kept routes and sessions valid until `until`.
    fn inherit(&mut self, until: Millis) {
        self.inherited = self.inherited.max(until);
        for session in self.sessions.values_mut() {
            session.inherit(until);
        }
    }

    /// Notices that the process was paused: servers were not asked meanwhile, so their silence says
    /// nothing, and a deputy may have renewed what this holder believes to have run out.
    fn wake(&mut self, now: Millis) {
        if now.since(self.ticked) >= self.timing.suspect {
            self.inherit(
                now + self
                    .timing
                    .others(self.timing.route.max(self.timing.session)),
            );
            for session in self.sessions.values_mut() {
                session.wake(now);
            }
        }
        self.ticked = now;
    }

    fn take_servers(&mut self, now: Millis) {
        let section: Vec<Server> = self.service.section(self.part).cloned().collect();
        self.servers = section.into_iter().map(|s| (s.name.clone(), s)).collect();
        // A server that was dropped from the bundle keeps its session until its slices have moved.
        let owners: BTreeSet<&ServerName> = self
            .table
            .entries()
            .iter()
            .filter_map(|e| e.owner.as_ref())
            .collect();
        self.sessions
            .retain(|name, _| self.servers.contains_key(name) || owners.contains(name));
        // Servers of a section that was never held before, and servers added to one, are cold.
        let first = self.fresh && self.fence.epoch == Epoch(1);
        // Servers of a free service see no fences.
        let floor = match self.service.kind {
            Kind::Keyed => Fence {
                epoch: self.fence.epoch,
                version: 0,
            },
            Kind::Free => Fence::default(),
        };
        for server in self.servers.values() {
            if !self.sessions.contains_key(&server.name) && (first || !self.fresh) {
                self.ramps
                    .entry(server.name.clone())
                    .or_default()
                    .chill(now);
            }
            let bound = self.inherited.max(now + self.timing.suspect);
            self.sessions
                .entry(server.name.clone())
                .or_insert_with(|| Session::new(server, bound))
                .set_floor(floor);
        }
    }

    fn health(&self, now: Millis, server: &ServerName) -> Health {
        self.sessions
            .get(server)
            .map_or(Health::Lost, |s| s.health(now, &self.timing))
    }

    /// Tells whether a server may be given slices.
    fn is_eligible(&self, now: Millis, server: &ServerName) -> bool {
        self.servers.contains_key(server)
            && !self.outs.contains(server)
            && self.health(now, server) == Health::Up
    }
}
