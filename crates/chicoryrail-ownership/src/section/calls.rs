//! Calls to servers: sessions, grants, load reports.

use chicoryrail_core::Kind;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::Slice;

use super::Act;
use super::Section;
use super::moves::Stage;
use crate::sessions::merged;

impl Section {
    /// Returns the calls that are due.
    pub(super) fn calls(&mut self, now: Millis) -> Vec<Act> {
        let due = |n: &&ServerName| self.sessions[*n].is_due(now);
        let names: Vec<ServerName> = self.sessions.keys().filter(due).cloned().collect();
        names.iter().filter_map(|n| self.call(now, n)).collect()
    }

    fn call(&mut self, now: Millis, name: &ServerName) -> Option<Act> {
        let server = name.clone();
        if self.service.kind == Kind::Free {
            let session = self.sessions.get_mut(name)?;
            session.asked(now, true, &self.timing);
            let addr = session.addr();
            return Some(Act::Load { server, addr });
        }
        let (wanted, releasing) = self.wanted(name);
        let fence = self.fence;
        let session = self.sessions.get_mut(name)?;
        let addr = session.addr();
        let held = merged(session.held().to_vec());
        let mut with = wanted.clone();
        with.extend(releasing);
        let fits = held == merged(wanted.clone()) || held == merged(with);
        Some(match session.asked(now, true, &self.timing) {
            Some(asof) if !fits => Act::Grant {
                server,
                addr,
                fence,
                asof,
                slices: wanted,
            },
            asof => Act::Session {
                server,
                addr,
                fence,
                asof,
            },
        })
    }

    /// Returns the slices that a server should hold, and those that it is asked to release.
    pub(super) fn wanted(&self, name: &ServerName) -> (Vec<Slice>, Vec<Slice>) {
        let mut wanted = Vec::new();
        let mut releasing = Vec::new();
        for (i, entry) in self.table.entries().iter().enumerate() {
            if entry.owner.as_ref() != Some(name) {
                continue;
            }
            match self.moves.get(&i).map(|m| &m.stage) {
                None | Some(Stage::Draining { .. } | Stage::Granting) => wanted.push(entry.slice),
                Some(Stage::Releasing { .. }) => releasing.push(entry.slice),
                Some(Stage::Storing { .. }) => {}
            }
        }
        (wanted, releasing)
    }
}
