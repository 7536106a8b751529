//! Moves of slices between servers.

use std::collections::BTreeMap;

use chicoryrail_core::DcName;
use chicoryrail_core::Fence;
use chicoryrail_core::HostName;
use chicoryrail_core::Kind;
use chicoryrail_core::Millis;
use chicoryrail_core::Server;
use chicoryrail_core::ServerName;
use chicoryrail_core::Slice;

use super::Act;
use super::Section;
use crate::AssignRecord;
use crate::Assignment;
use crate::Health;
use crate::Placement;
use crate::sessions::covers;
use crate::sessions::merged;

/// Planned moves under way at a time, as a share of the section's slices. Requests of a moving slice
/// are held; with an eighth at a time a whole data centre leaves in some 8 rounds of about 100 ms,
/// within the 3 s that operators are promised, while 7 of 8 keys are not held.
const PLANNED_SHARE: usize = 8;

/// Time between two tries to release slices of a server that did not answer the last one.
const RELEASE_AGAIN: Millis = Millis(200);

/// How far the move of one slice has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    /// Gates hold new requests; waiting until none can send under an older table.
    Draining {
        /// Fence of the first table that shows the move.
        fence: Option<Fence>,
    },
    /// The old owner is asked to let go.
    Releasing {
        /// When it is asked again.
        again: Millis,
    },
    /// The store is asked to take the next owner.
    Storing {
        /// The next owner.
        to: ServerName,
    },
    /// The store has the new owner; it is being granted.
    Granting,
}

/// The move of one slice.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Handoff {
    pub(super) stage: Stage,
    /// Next owner, where the move is for balance; otherwise it is chosen once the slice is free.
    pub(super) shift: Option<ServerName>,
    /// When the move began.
    pub since: Millis,
}

impl Handoff {
    const fn new(stage: Stage, since: Millis) -> Self {
        Self {
            stage,
            shift: None,
            since,
        }
    }
}

impl Section {
    /// Advances everything and returns what has to be done; `store` tells whether the store has
    /// answered just now. Without that no planned move starts: its slice would be held until the
    /// store is back.
    pub fn tick(&mut self, now: Millis, store: bool, gates: &[(HostName, DcName)]) -> Vec<Act> {
        self.wake(now);
        self.chill_returned(now);
        if self.service.kind == Kind::Keyed {
            self.resplit();
            self.start_moves(now, store);
            self.rebalance(now, store);
            self.advance(now);
        }
        self.seat(now, gates);
        self.publish(now);
        let mut acts = self.release(now);
        if self.service.kind == Kind::Keyed && self.needs_store() {
            self.writing = true;
            acts.push(Act::Store);
        }
        acts.extend(self.calls(now));
        acts
    }

    /// Takes in the answer to a release.
    pub fn released(&mut self, now: Millis, slices: &[Slice]) {
        let entries = self.table.entries();
        let done = |i: &usize| slices.contains(&entries[*i].slice);
        let indexes: Vec<usize> = self.moves.keys().copied().filter(done).collect();
        for i in indexes {
            if matches!(self.moves[&i].stage, Stage::Releasing { .. }) {
                self.choose(now, &[i]);
            }
        }
    }

    /// Returns the record to write: the table with the owners that wait for the store.
    #[must_use]
    pub fn pending(&self, attempt: &str) -> AssignRecord {
        self.next_table().to_record(self.fence, attempt)
    }

    /// Takes in whether the store has `record`.
    pub fn stored(&mut self, record: Option<&AssignRecord>) {
        self.writing = false;
        let Some(record) = record else {
            return;
        };
        self.fresh = false;
        for (i, handoff) in &mut self.moves {
            let Stage::Storing { to } = &handoff.stage else {
                continue;
            };
            // A move that came to this stage while the record was on its way is in the next one.
            let owner = record
                .owners
                .get(*i)
                .and_then(|o| record.servers.get(*o as usize));
            if owner != Some(to) {
                continue;
            }
            self.table.set_owner(*i, Some(to.clone()));
            if let Some(session) = self.sessions.get_mut(to) {
                session.hurry();
            }
            handoff.stage = Stage::Granting;
        }
    }

    fn needs_store(&self) -> bool {
        let waits = |m: &Handoff| matches!(m.stage, Stage::Storing { .. });
        !self.writing && (self.fresh || self.moves.values().any(waits))
    }

    fn next_table(&self) -> Assignment {
        let mut table = self.table.clone();
        for (i, handoff) in &self.moves {
            if let Stage::Storing { to } = &handoff.stage {
                table.set_owner(*i, Some(to.clone()));
            }
        }
        table
    }

    fn start_moves(&mut self, now: Millis, store: bool) {
        let mut planned = 0;
        for (i, handoff) in &self.moves {
            let owner = self.table.owner(*i);
            let up = owner.is_some_and(|o| self.health(now, o) == Health::Up);
            planned += usize::from(up && handoff.stage != Stage::Granting);
        }
        let most = self.table.entries().len().div_ceil(PLANNED_SHARE);
        for i in 0..self.table.entries().len() {
            if self.moves.contains_key(&i) {
                continue;
            }
            let start = match self.table.owner(i) {
                None => true,
                Some(owner) => match self.health(now, owner) {
                    Health::Suspect | Health::Lost => true,
                    Health::Up | Health::New if !self.must_leave(owner) => false,
                    _ => {
                        planned += 1;
                        let wanted = planned <= most && self.has_room(now);
                        self.asks |= wanted && !store;
                        wanted && store
                    }
                },
            };
            if start {
                let stage = Stage::Draining { fence: None };
                self.moves.insert(i, Handoff::new(stage, now));
            }
        }
    }

    /// Cuts the table anew after a change of hot keys or ranges, once nothing refers to its indexes.
    fn resplit(&mut self) {
        if self.split && self.moves.is_empty() && !self.writing {
            self.split = false;
            self.table.split(&self.service);
        }
    }

    fn must_leave(&self, owner: &ServerName) -> bool {
        self.outs.contains(owner) || !self.servers.contains_key(owner)
    }

    fn has_room(&self, now: Millis) -> bool {
        self.servers.keys().any(|n| self.is_eligible(now, n))
    }

    fn advance(&mut self, now: Millis) {
        let mut ready = Vec::new();
        let mut ended = Vec::new();
        let mut doubted = Vec::new();
        for (i, handoff) in &self.moves {
            let owner = self.table.owner(*i);
            let health = owner.map(|o| self.health(now, o));
            match (&handoff.stage, health) {
                (Stage::Draining { .. }, Some(Health::Up))
                    if handoff.shift.is_none() && owner.is_some_and(|o| !self.must_leave(o)) =>
                {
                    ended.push(*i);
                }
                (Stage::Draining { fence: Some(fence) }, _)
                    if self.is_drained(now, *fence, health) =>
                {
                    ready.push((*i, health));
                }
                (Stage::Releasing { .. }, Some(Health::Suspect | Health::Lost)) => doubted.push(*i),
                (Stage::Granting, Some(Health::Up)) => {
                    let slice = self.table.entries()[*i].slice;
                    let held = owner.and_then(|o| self.sessions.get(o)).map(|s| s.held());
                    if held.is_some_and(|h| covers(&merged(h.to_vec()), slice)) {
                        ended.push(*i);
                    }
                }
                _ => {}
            }
        }
        for i in ended {
            self.moves.remove(&i);
        }
        // The deputy may still renew this server's session, so it has to know of the doubt too.
        for i in doubted {
            let stage = Stage::Draining { fence: None };
            self.moves.insert(i, Handoff::new(stage, now));
        }
        let mut free = Vec::new();
        for (i, health) in ready {
            match health {
                None | Some(Health::Lost) => free.push(i),
                Some(Health::Up) => {
                    if let Some(m) = self.moves.get_mut(&i) {
                        m.stage = Stage::Releasing { again: now };
                        // A grant that is still on its way would undo the release at the server; with a
                        // higher fence on the release it is refused.
                        self.left.extend(self.table.owner(i).cloned());
                    }
                }
                Some(Health::Suspect | Health::New) => {}
            }
        }
        self.choose(now, &free);
        self.retract(now);
    }

    /// Turns back a grant whose new owner was lost before it had the slice.
    fn retract(&mut self, now: Millis) {
        let lost = |i: &usize| {
            let owner = self.table.owner(*i);
            let health = owner.map(|o| self.health(now, o));
            self.moves[i].stage == Stage::Granting && health == Some(Health::Lost)
        };
        let indexes: Vec<usize> = self.moves.keys().copied().filter(lost).collect();
        for i in indexes {
            let stage = Stage::Draining { fence: None };
            self.moves.insert(i, Handoff::new(stage, now));
        }
    }

    /// Tells whether no request of the slice can be on its way to the old owner any more.
    fn is_drained(&self, now: Millis, fence: Fence, health: Option<Health>) -> bool {
        if health.is_none() && self.fence.epoch.0 == 1 {
            return true;
        }
        if self.deputy.is_some_and(|known| known < fence) {
            return false;
        }
        let known = self.gates.all_know(now, fence);
        if self.service.fenced || known && self.gates.acknowledged_by_all(fence) {
            return known && now >= self.inherited;
        }
        // An unfenced server runs whatever reached it, so what a silent gate may have sent last has
        // to have run out too.
        let last = self.gates.latest(fence).max(self.inherited);
        now >= last + self.service.deadline_ms
    }

    fn release(&mut self, now: Millis) -> Vec<Act> {
        let mut batches: BTreeMap<ServerName, Vec<Slice>> = BTreeMap::new();
        for (i, handoff) in &mut self.moves {
            let Stage::Releasing { again } = &mut handoff.stage else {
                continue;
            };
            if now < *again {
                continue;
            }
            *again = now + RELEASE_AGAIN;
            let entry = &self.table.entries()[*i];
            if let Some(owner) = &entry.owner {
                batches.entry(owner.clone()).or_default().push(entry.slice);
            }
        }
        let act = |(server, slices): (ServerName, Vec<Slice>)| {
            let addr = self.sessions.get(&server)?.addr();
            Some(Act::Release {
                server,
                addr,
                fence: self.fence,
                slices,
            })
        };
        batches.into_iter().filter_map(act).collect()
    }

    fn choose(&mut self, now: Millis, indexes: &[usize]) {
        // A server that has not had the time to answer yet may be up: choosing now would give its
        // share to the few that answered first, and move it back later.
        let unheard =
            |s: &&Server| !self.outs.contains(&s.name) && self.health(now, &s.name) == Health::New;
        if indexes.is_empty() || self.servers.values().any(|s| unheard(&s)) {
            return;
        }
        let servers = self.candidates(now);
        let mut table = self.next_table();
        for i in indexes {
            table.set_owner(*i, None);
        }
        let loads = self.balance.slices(&self.table);
        let plan = Placement::new(&servers, &self.service, loads).orphans(&table, indexes);
        for shift in plan {
            if let Some(handoff) = self.moves.get_mut(&shift.index) {
                let named = handoff.shift.take();
                let able = named.filter(|n| servers.iter().any(|s| s.name == *n));
                let to = able.unwrap_or(shift.to);
                self.left.extend(self.table.owner(shift.index).cloned());
                handoff.stage = Stage::Storing { to };
            }
        }
    }
}
