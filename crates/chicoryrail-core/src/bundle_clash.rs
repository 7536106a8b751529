//! What two teams' bundles may not share.

use std::collections::HashMap;

use snafu::Snafu;

use crate::Bundle;
use crate::Server;
use crate::TeamName;

/// A name, path or address that another team's bundle holds already.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{field} = {value}: belongs to team {team}"))]
pub struct Clash {
    /// Path of the field, for example `service.name`.
    pub field: &'static str,
    /// The value that both hold.
    pub value: String,
    /// Team that holds it.
    pub team: TeamName,
}

impl Bundle {
    /// Returns the first service name, path, server name or address that both bundles claim.
    ///
    /// Of two paths neither may start with the other: requests for the longer one would go to a team
    /// that the shorter one's owner does not know of. Data centres are shared between teams.
    #[must_use]
    pub fn clash(&self, other: &Self) -> Option<Clash> {
        let clash = |field, value: String| {
            Some(Clash {
                field,
                value,
                team: other.team.clone(),
            })
        };
        for ours in &self.services {
            for theirs in &other.services {
                if ours.name == theirs.name {
                    return clash("service.name", ours.name.to_string());
                }
                if ours.path.starts_with(&theirs.path) || theirs.path.starts_with(&ours.path) {
                    return clash("service.path", ours.path.clone());
                }
            }
        }
        let names: HashMap<_, _> = other.servers().map(|s| (&s.name, s)).collect();
        let addrs: HashMap<_, _> = other.servers().map(|s| (s.addr, s)).collect();
        for server in self.servers() {
            if names.contains_key(&server.name) {
                return clash("server.name", server.name.to_string());
            }
            if addrs.contains_key(&server.addr) {
                return clash("server.addr", server.addr.to_string());
            }
        }
        None
    }

    /// Iterates over the servers of all services.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.services.iter().flat_map(|s| &s.servers)
    }
}
