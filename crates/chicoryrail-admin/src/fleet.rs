//! What the hosts say: the platform's list, and every controller's status.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use chicoryrail_core::Config;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_platform::HostEntry;
use chicoryrail_platform::HostList;
use chicoryrail_platform::HttpHostList;
use chicoryrail_wire::ConfigRequest;
use chicoryrail_wire::Heartbeat;
use chicoryrail_wire::Peer;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use chicoryrail_wire::Role;
use chicoryrail_wire::StatusReply;
use futures_util::future::join_all;

use crate::Missing;
use crate::PendingView;

/// Longest time a controller may take to answer. They answer from memory; one that takes longer is
/// shown as silent, and an operator's call is not held up by it.
const CALL_LIMIT: Millis = Millis(400);

/// Silence after which a process can't act on an older configuration. Sessions, routes and
/// holdership last 700 ms at most without a word from others; a host that hears the store alone
/// learns of a new head from its watch within 2 s. The rest is the drift margin.
const SILENT_SAFE: Millis = Millis(3_000);

/// The processes that must have a configuration in force.
const PROGRAMS: [Role; 2] = [Role::Gate, Role::Controller];

/// The way to the hosts.
#[derive(Debug)]
pub(crate) struct Fleet {
    own: HostName,
    list: HttpHostList,
    last: RefCell<Vec<HostEntry>>,
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    unheard: RefCell<HashMap<(HostName, Role), Millis>>,
}

/// One look at all hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// Whether the host list answered; else `hosts` is what it said last.
    pub(crate) listed: bool,
    /// Hosts of the list.
    pub(crate) hosts: Vec<HostEntry>,
    /// Answers of the controllers.
    pub(crate) replies: Vec<StatusReply>,
}

impl Fleet {
    /// Builds the way to the hosts of the list at `list`, for a process of host `own`.
    pub(crate) fn new(own: HostName, list: SocketAddr) -> Self {
        Self {
            own,
            list: HttpHostList::new(list),
            last: RefCell::default(),
            peers: RefCell::default(),
            unheard: RefCell::default(),
        }
    }

    /// Asks the host list and every controller on it.
    pub(crate) async fn look(&self, tables: bool) -> Snapshot {
        let (listed, hosts) = self.hosts().await;
        let request = Request::Status { tables };
        let replies = self.ask(&hosts, &request).await;
        let replies = replies.into_iter().filter_map(|reply| match reply {
            Reply::Status(status) => Some(status),
            _ => None,
        });
        Snapshot {
            listed,
            replies: replies.collect(),
            hosts,
        }
    }

    /// Reads the newest configuration that a controller has; for when the store does not answer.
    pub(crate) async fn config(&self) -> Option<Config> {
        let (_, hosts) = self.hosts().await;
        let request = Request::Config(ConfigRequest {
            host: self.own.clone(),
            known: 0,
            wait: Millis::ZERO,
        });
        let replies = self.ask(&hosts, &request).await;
        let configs = replies.into_iter().filter_map(|reply| match reply {
            Reply::Config(reply) => reply.config,
            _ => None,
        });
        configs.max_by_key(Config::version)
    }

    /// Tells who keeps `version` from being in force everywhere.
    pub(crate) fn pending(&self, snapshot: &Snapshot, version: u64, now: Millis) -> PendingView {
        let seen = snapshot.programs();
        let mut missing = Vec::new();
        for host in snapshot.names() {
            for program in PROGRAMS {
                let key = (host.clone(), program);
                let seen = seen.get(&key);
                let silent = match seen {
                    Some((_, silent)) => *silent,
                    None => self.unheard_for(&key, now),
                };
                if let Some(version) = lack(seen, silent, version) {
                    missing.push(Missing {
                        host: key.0,
                        program: Some(program),
                        version,
                        silent_ms: silent,
                    });
                }
            }
        }
        self.forget(&seen);
        PendingView {
            version,
            accepted: missing.is_empty() && !snapshot.replies.is_empty(),
            missing,
        }
    }

    /// Returns for how long this process has known of a process that no controller has ever heard,
    /// which is the least that its silence can be.
    fn unheard_for(&self, key: &(HostName, Role), now: Millis) -> Millis {
        let mut unheard = self.unheard.borrow_mut();
        let first = unheard.entry(key.clone()).or_insert(now);
        now.since(*first)
    }

    fn forget(&self, seen: &BTreeMap<(HostName, Role), (Heartbeat, Millis)>) {
        let mut unheard = self.unheard.borrow_mut();
        unheard.retain(|key, _| !seen.contains_key(key));
    }

    async fn hosts(&self) -> (bool, Vec<HostEntry>) {
        match self.list.hosts().await {
            Some(hosts) => {
                self.last.replace(hosts.clone());
                (true, hosts)
            }
            None => (false, self.last.borrow().clone()),
        }
    }

    async fn ask(&self, hosts: &[HostEntry], request: &Request) -> Vec<Reply> {
        let peers: Vec<Peer> = {
            let mut peers = self.peers.borrow_mut();
            peers.retain(|addr, _| hosts.iter().any(|h| h.controller == *addr));
            hosts
                .iter()
                .map(|h| {
                    let peer = peers.entry(h.controller);
                    peer.or_insert_with(|| Peer::new(h.controller)).clone()
                })
                .collect()
        };
        let calls = peers.iter().map(|peer| peer.call(request, CALL_LIMIT));
        join_all(calls).await.into_iter().flatten().collect()
    }
}

impl Snapshot {
    /// Returns every process that a controller heard from, with the shortest silence.
    pub(crate) fn programs(&self) -> BTreeMap<(HostName, Role), (Heartbeat, Millis)> {
        let mut programs: BTreeMap<_, (Heartbeat, Millis)> = BTreeMap::new();
        let own = self.replies.iter().map(|r| (&r.own, Millis::ZERO));
        let peers = self.replies.iter().flat_map(|r| &r.peers);
        for (beat, silent) in own.chain(peers.map(|p| (&p.beat, p.silent))) {
            let key = (beat.host.clone(), beat.role);
            let best = programs
                .entry(key)
                .or_insert_with(|| (beat.clone(), silent));
            if silent < best.1 {
                *best = (beat.clone(), silent);
            }
        }
        programs
    }

    /// Returns the names of all hosts that the list or a controller knows, sorted.
    pub(crate) fn names(&self) -> Vec<HostName> {
        let listed = self.hosts.iter().map(|h| &h.name);
        let heard = self.replies.iter().flat_map(|r| &r.peers);
        let fresh = heard.filter(|p| p.silent <= SILENT_SAFE);
        let mut names: Vec<HostName> = listed
            .chain(fresh.map(|p| &p.beat.host))
            .chain(self.replies.iter().map(|r| &r.own.host))
            .cloned()
            .collect();
        names.sort();
        names.dedup();
        names
    }
}

/// Returns the version that a process lacks `version` with; `None` where it lacks nothing.
fn lack(seen: Option<&(Heartbeat, Millis)>, silent: Millis, version: u64) -> Option<Option<u64>> {
    if silent > SILENT_SAFE {
        return None;
    }
    let has = seen.map(|(beat, _)| beat.version);
    has.is_none_or(|has| has < version).then_some(has)
}
