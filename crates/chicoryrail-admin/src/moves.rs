//! Data centres, hosts and servers: out of service and back.

use std::collections::BTreeSet;

use chicoryrail_core::Config;
use chicoryrail_core::DcName;
use chicoryrail_core::Head;
use chicoryrail_core::HostName;
use chicoryrail_core::Outs;
use chicoryrail_core::ResultCode;
use chicoryrail_core::ServerName;
use chicoryrail_core::TeamName;
use chicoryrail_platform::Store;

use crate::Admin;
use crate::ApiError;
use crate::Caller;
use crate::Change;
use crate::capacity;
use crate::capacity::Verdict;
use crate::fleet::Snapshot;
use crate::load;
use crate::roll::HeadChange;

/// What operators take out of service and bring back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// A data centre with the servers in it.
    DataCentre(DcName),
    /// One of the system's own hosts.
    Host(HostName),
    /// A single server.
    Server(ServerName),
}

impl Place {
    /// Reads a place from two segments of a path; `None` where the first names no kind of place.
    #[must_use]
    pub fn parse(kind: &str, name: &str) -> Option<Self> {
        match kind {
            "data-centres" => Some(Self::DataCentre(name.into())),
            "hosts" => Some(Self::Host(name.into())),
            "servers" => Some(Self::Server(name.into())),
            _ => None,
        }
    }

    /// Puts the place among the outs or takes it away; `false` where nothing changes.
    fn apply(&self, outs: &mut Outs, out: bool) -> bool {
        match self {
            Self::DataCentre(name) => toggle(&mut outs.data_centres, name, out),
            Self::Host(name) => toggle(&mut outs.hosts, name, out),
            Self::Server(name) => toggle(&mut outs.servers, name, out),
        }
    }

    /// Returns the teams that the move touches; `None` where nothing has the name.
    fn teams(&self, config: &Config, fleet: &Snapshot) -> Option<BTreeSet<TeamName>> {
        match self {
            Self::DataCentre(name) => {
                let declares = config
                    .bundles
                    .values()
                    .filter(|b| b.data_centres.iter().any(|d| d.name == *name));
                let teams: BTreeSet<_> = declares.map(|b| b.team.clone()).collect();
                let known = !teams.is_empty() || config.head.outs.data_centres.contains(name);
                known.then_some(teams)
            }
            Self::Host(name) => {
                let known = fleet.names().contains(name) || config.head.outs.hosts.contains(name);
                known.then(|| config.bundles.keys().cloned().collect())
            }
            Self::Server(name) => {
                let holds = config
                    .bundles
                    .values()
                    .filter(|b| b.servers().any(|s| s.name == *name));
                let teams: BTreeSet<_> = holds.map(|b| b.team.clone()).collect();
                let known = !teams.is_empty() || config.head.outs.servers.contains(name);
                known.then_some(teams)
            }
        }
    }

    /// Returns the kind's field name and the name, for messages.
    fn words(&self) -> (&'static str, &str) {
        match self {
            Self::DataCentre(name) => ("data centre", name.as_str()),
            Self::Host(name) => ("host", name.as_str()),
            Self::Server(name) => ("server", name.as_str()),
        }
    }
}

impl<S: Store> Admin<S> {
    /// Takes a place out of service or brings it back.
    ///
    /// A take-out that the rest could not bear is refused unless `force` is given. The check is made
    /// against the head that the compare-and-swap expects, so two take-outs that are bearable one by
    /// one and not together can't both pass it.
    pub(crate) async fn relocate(
        &self,
        caller: &Caller,
        place: &Place,
        out: bool,
        force: bool,
    ) -> Result<Change, ApiError> {
        let author = caller.operate()?;
        let (record, head) = self.records.head().await?;
        let config = self.records.expand(head).await?;
        let fleet = self.fleet.look(false).await;
        let (kind, name) = place.words();
        let Some(teams) = place.teams(&config, &fleet) else {
            return Err(ApiError::unknown(kind, name));
        };
        for team in &teams {
            caller.touch(team)?;
        }
        let mut change = HeadChange::new(record, &config.head, author);
        if !place.apply(&mut change.head_mut().outs, out) {
            return Ok(self.change(config.head.version, true, Vec::new()).await);
        }
        let verdict = if out {
            self.judge(&config, change.head(), &fleet).await
        } else {
            Verdict::default()
        };
        if !verdict.refusals.is_empty() && !force {
            let text = format!("{kind} {name}: {}", verdict.refusals.join("; "));
            return Err(ApiError::new(ResultCode::CapacityShort, text));
        }
        let warnings = [verdict.refusals, verdict.notes].concat();
        let version = change.write(&self.records, &self.process.clock).await?;
        Ok(self.change(version, false, warnings).await)
    }

    async fn judge(&self, config: &Config, next: &Head, fleet: &Snapshot) -> Verdict {
        let in_use = load::measure(&self.process.clock, &fleet.hosts).await;
        let mut verdict = capacity::judge(config, &next.outs, in_use.as_ref());
        verdict.refusals.extend(hosts_left(&next.outs, fleet));
        verdict
    }
}

/// Warns where no host would be left to serve callers.
fn hosts_left(outs: &Outs, fleet: &Snapshot) -> Option<String> {
    let names = fleet.names();
    let none = !names.is_empty() && names.iter().all(|name| outs.hosts.contains(name));
    none.then(|| "no host would be left to serve callers".to_owned())
}

fn toggle<T: Ord + Clone>(set: &mut BTreeSet<T>, name: &T, out: bool) -> bool {
    if out {
        set.insert(name.clone())
    } else {
        set.remove(name)
    }
}
