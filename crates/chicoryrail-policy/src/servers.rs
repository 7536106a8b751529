//! The servers of one queue, and which of them gets a request.

use std::collections::HashMap;

use chicoryrail_core::Class;
use chicoryrail_core::Millis;

use crate::Health;
use crate::ServerId;
use crate::server::Server;
use crate::service_times::ServiceTimes;

/// One in this many servers of a queue may be avoided as slow; with more, slowness is no longer
/// the exception and avoiding them would only push their load onto the rest.
const AVOIDED: usize = 3;

/// Servers that left and are still remembered; with more, all are forgotten at once.
///
/// Many times the servers of one queue, so only the names of servers that were replaced fill it.
const REMEMBERED: usize = 1_024;

/// The servers of one queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct Servers {
    present: Vec<Server>,
    /// Servers that left, by name: a route that ran out for a moment must not make a server on its
    /// ramp look warm, nor hide that it came back as a fresh process.
    past: HashMap<ServerId, Server>,
}

impl Servers {
    pub(crate) fn add(&mut self, id: ServerId, slots: u32) {
        if self.get(id).is_none() {
            let known = self.past.remove(&id);
            self.present
                .push(known.unwrap_or_else(|| Server::new(id, slots)));
        }
        if let Some(s) = self.get_mut(id) {
            s.slots = slots;
            s.leaving = false;
        }
    }

    /// Puts away servers that leave and have nothing in flight.
    pub(crate) fn forget_left(&mut self) {
        let left = |s: &mut Server| s.leaving && s.in_flight() == 0;
        for mut s in self.present.extract_if(.., left) {
            // How quick it was says nothing of the time when it is back.
            s.health = Health::default();
            if self.past.len() >= REMEMBERED {
                self.past.clear();
            }
            self.past.insert(s.id, s);
        }
    }

    pub(crate) fn get(&self, id: ServerId) -> Option<&Server> {
        self.present.iter().find(|s| s.id == id)
    }

    pub(crate) fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.present.iter_mut().find(|s| s.id == id)
    }

    /// Looks at the ages of the requests in flight.
    pub(crate) fn observe(&mut self, now: Millis, times: &ServiceTimes) {
        for s in &mut self.present {
            s.observe(now, |class| times.usual(class));
        }
    }

    /// Chooses a free slot; the requests in flight must have been observed.
    ///
    /// Load: one of several servers turns slow. Harm prevented: the slow server, which has free
    /// slots like any other, keeps getting work. A sound server goes first, the one with the
    /// smallest part of its slots in use. A suspected one gets a single lookup as a probe when its
    /// rest is over, and otherwise work only where more than [`AVOIDED`] allows are suspected. An
    /// order is never a probe, since it can't be tried elsewhere when it is late.
    pub(crate) fn choose(&self, now: Millis, class: Class, due: bool) -> Option<ServerId> {
        if class == Class::Interactive
            && let Some(s) = self.present.iter().find(|s| s.wants_probe(now))
        {
            return Some(s.id);
        }
        let batch = class == Class::Batch;
        let suspects = self
            .present
            .iter()
            .filter(|s| s.health.is_suspect())
            .count();
        let floor = suspects * AVOIDED > self.present.len();
        let fits = |s: &&Server| s.free() > 0 && (!batch || s.takes_batch(due));
        let open = |s: &&Server| floor || !s.health.is_suspect();
        let rank = |s: &&Server| {
            let part = s.in_flight() * 1_024 / s.limit().max(1);
            (s.health.is_suspect(), part)
        };
        let best = self
            .present
            .iter()
            .filter(fits)
            .filter(open)
            .min_by_key(rank);
        best.map(|s| s.id)
    }

    pub(crate) fn all_leave(&self) -> bool {
        self.present.iter().all(|s| s.leaving)
    }

    pub(crate) fn any_suspect(&self) -> bool {
        self.present.iter().any(|s| s.health.is_suspect())
    }

    pub(crate) fn wants_probe(&self, now: Millis) -> bool {
        self.present.iter().any(|s| s.wants_probe(now))
    }

    /// Counts the free slots of servers that are not suspected.
    pub(crate) fn sound_free(&self) -> u32 {
        self.sound().map(Server::free).sum()
    }

    /// Counts the slots of servers that are not suspected.
    pub(crate) fn sound_slots(&self) -> u32 {
        self.sound().map(Server::limit).sum()
    }

    /// Returns the slots that a lane's waits are computed from: those of servers that are not
    /// suspected, or all where every one is.
    pub(crate) fn lane_slots(&self, batch: bool) -> f64 {
        let slots = |s: &Server| s.limit() - u32::from(batch && s.limit() > 1);
        let sound: u32 = self.sound().map(slots).sum();
        let open = self.present.iter().filter(|s| !s.leaving);
        let all: u32 = open.map(slots).sum();
        f64::from(if sound > 0 { sound } else { all.max(1) })
    }

    fn sound(&self) -> impl Iterator<Item = &Server> {
        let sound = |s: &&Server| !s.leaving && !s.health.is_suspect();
        self.present.iter().filter(sound)
    }
}
