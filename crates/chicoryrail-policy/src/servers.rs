//! The servers of one queue, and which of them gets a request.

use chicoryrail_core::Class;
use chicoryrail_core::Millis;

use crate::ServerId;
use crate::server::Server;
use crate::service_times::ServiceTimes;

/// One in this many servers of a queue may be avoided as slow; with more, slowness is no longer
/// the exception and avoiding them would only push their load onto the rest.
const AVOIDED: usize = 3;

/// The servers of one queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct Servers(Vec<Server>);

impl Servers {
    pub(crate) fn add(&mut self, id: ServerId, slots: u32) {
        match self.get_mut(id) {
            Some(s) => {
                s.slots = slots;
                s.leaving = false;
            }
            None => self.0.push(Server::new(id, slots)),
        }
    }

    /// Forgets servers that leave and have nothing in flight.
    pub(crate) fn forget_left(&mut self) {
        self.0.retain(|s| !s.leaving || s.in_flight() > 0);
    }

    pub(crate) fn get(&self, id: ServerId) -> Option<&Server> {
        self.0.iter().find(|s| s.id == id)
    }

    pub(crate) fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.0.iter_mut().find(|s| s.id == id)
    }

    /// Looks at the ages of the requests in flight.
    pub(crate) fn observe(&mut self, now: Millis, times: &ServiceTimes) {
        for s in &mut self.0 {
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
            && let Some(s) = self.0.iter().find(|s| s.wants_probe(now))
        {
            return Some(s.id);
        }
        let batch = class == Class::Batch;
        let suspects = self.0.iter().filter(|s| s.health.is_suspect()).count();
        let floor = suspects * AVOIDED > self.0.len();
        let fits = |s: &&Server| s.free() > 0 && (!batch || s.takes_batch(due));
        let open = |s: &&Server| floor || !s.health.is_suspect();
        let rank = |s: &&Server| {
            let part = s.in_flight() * 1_024 / s.limit().max(1);
            (s.health.is_suspect(), part)
        };
        let best = self.0.iter().filter(fits).filter(open).min_by_key(rank);
        best.map(|s| s.id)
    }

    pub(crate) fn all_leave(&self) -> bool {
        self.0.iter().all(|s| s.leaving)
    }

    pub(crate) fn any_suspect(&self) -> bool {
        self.0.iter().any(|s| s.health.is_suspect())
    }

    pub(crate) fn wants_probe(&self, now: Millis) -> bool {
        self.0.iter().any(|s| s.wants_probe(now))
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
        let open = self.0.iter().filter(|s| !s.leaving);
        let all: u32 = open.map(slots).sum();
        f64::from(if sound > 0 { sound } else { all.max(1) })
    }

    fn sound(&self) -> impl Iterator<Item = &Server> {
        let sound = |s: &&Server| !s.leaving && !s.health.is_suspect();
        self.0.iter().filter(sound)
    }
}
