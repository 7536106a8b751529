//! The routes as gates get them.

use std::net::SocketAddr;

use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::Slice;

use super::Section;
use super::moves::Stage;
use crate::Health;
use crate::Ramp;

/// Whether a server takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Work {
    /// Up to its slots.
    Up,
    /// In cold start.
    Cold,
    /// Taken out.
    Out,
    /// It does not answer.
    Lost,
}

/// A server in the routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Name of the server.
    pub name: ServerName,
    /// Its data centre.
    pub dc: DcName,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it takes work.
    pub work: Work,
    /// The gate that holds its slots.
    pub gate: Option<HostName>,
    /// Most requests in flight.
    pub slots: u32,
}

/// A slice in the routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SliceView {
    /// The slice.
    pub slice: Slice,
    /// Index of the owner.
    pub owner: u32,
    /// Whether requests have to be held.
    pub moving: bool,
}

/// The routes of a section.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    /// The servers.
    pub servers: Vec<ServerView>,
    /// The slices, sorted; empty for a free service.
    pub slices: Vec<SliceView>,
}

impl Routes {
    /// Returns the slices of a server, the moving ones among them.
    #[must_use]
    pub fn owned_by(&self, server: &ServerName) -> Vec<Slice> {
        let index = self.servers.iter().position(|s| s.name == *server);
        let own = |s: &&SliceView| Some(s.owner as usize) == index;
        self.slices.iter().filter(own).map(|s| s.slice).collect()
    }
}

impl Section {
    /// Raises the table's version where its content has changed, or a release needs a higher fence.
    pub(super) fn publish(&mut self, now: Millis) {
        let view = self.build(now);
        if view == self.view && self.left.is_empty() {
            return;
        }
        self.view = view;
        self.fence.version += 1;
        for name in self.left.drain(..) {
            if let Some(session) = self.sessions.get_mut(&name) {
                session.set_floor(self.fence);
            }
        }
        for handoff in self.moves.values_mut() {
            if let Stage::Draining {
                fence: fence @ None,
            } = &mut handoff.stage
            {
                *fence = Some(self.fence);
            }
        }
        self.mark_seats();
    }

    fn build(&self, now: Millis) -> Routes {
        let names: Vec<&ServerName> = self.sessions.keys().collect();
        let servers = names.iter().map(|n| self.server_view(now, n)).collect();
        let index = |owner: &ServerName| names.binary_search(&owner).ok();
        let entries = self.table.entries().iter().enumerate();
        let slices = entries.map(|(i, entry)| {
            let owner = entry.owner.as_ref().and_then(index);
            SliceView {
                slice: entry.slice,
                owner: owner.unwrap_or(0) as u32,
                moving: owner.is_none() || self.moves.contains_key(&i),
            }
        });
        Routes {
            servers,
            slices: slices.collect(),
        }
    }

    fn server_view(&self, now: Millis, name: &ServerName) -> ServerView {
        let session = &self.sessions[name];
        let out = self.outs.contains(name) || !self.servers.contains_key(name);
        let ramp = self.ramps.get(name);
        let work = match session.health(now, &self.timing) {
            Health::Lost => Work::Lost,
            _ if out => Work::Out,
            _ if ramp.is_some_and(Ramp::is_cold) => Work::Cold,
            _ => Work::Up,
        };
        ServerView {
            name: name.clone(),
            dc: session.dc().clone(),
            addr: session.addr(),
            work,
            gate: self.seats.get(name).and_then(|s| s.gate.clone()),
            slots: ramp.map_or(self.service.slots, |r| r.slots(self.service.slots)),
        }
    }
}
