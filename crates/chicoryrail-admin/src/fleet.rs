//! What the hosts say: the platform's list, and every controller's status.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use chicoryrail_core::Config;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_ownership::RollState;
use chicoryrail_platform::HostEntry;
use chicoryrail_platform::HostList;
use chicoryrail_platform::HttpHostList;
use chicoryrail_runtime::Clock;
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
use crate::rolls::Rolls;
use crate::rolls::is_outlived;

/// Longest time a controller may take to answer. They answer from memory; one that takes longer is
/// shown as silent, and an operator's call is not held up by it.
const CALL_LIMIT: Millis = Millis(400);

/// The processes that must have a configuration in force.
const PROGRAMS: [Role; 2] = [Role::Gate, Role::Controller];

/// The way to the hosts.
#[derive(Debug)]
pub(crate) struct Fleet {
    own: HostName,
    list: HttpHostList,
    last: RefCell<Vec<HostEntry>>,
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    rolls: RefCell<Rolls>,
    clock: Clock,
}

/// One look at all hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// When the hosts were asked, and when the last answer was there or given up.
    pub(crate) asked: Millis,
    pub(crate) ended: Millis,
    /// Whether the host list answered; else `hosts` is what it said last.
    pub(crate) listed: bool,
    /// Hosts of the list.
    pub(crate) hosts: Vec<HostEntry>,
    /// Answers of the controllers.
    pub(crate) replies: Vec<StatusReply>,
}

impl Fleet {
    /// Builds the way to the hosts of the list at `list`, for a process of host `own`.
    pub(crate) fn new(own: HostName, list: SocketAddr, clock: Clock) -> Self {
        Self {
            own,
            list: HttpHostList::new(list),
            last: RefCell::default(),
            peers: RefCell::default(),
            rolls: RefCell::default(),
            clock,
        }
    }

    /// Asks the host list and every controller on it.
    pub(crate) async fn look(&self, tables: bool) -> Snapshot {
        let asked = self.clock.now();
        let (listed, hosts) = self.hosts().await;
        let request = Request::Status { tables };
        let replies = self.ask(&hosts, &request).await;
        let replies = replies.into_iter().filter_map(|reply| match reply {
            Reply::Status(status) => Some(status),
            _ => None,
        });
        Snapshot {
            asked,
            ended: self.clock.now(),
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

    /// Looks at all hosts and tells who keeps `version` from being in force everywhere.
    ///
    /// A majority has to report a version twice. Where the first look finds nobody who lacks it, the
    /// second follows at once, so that one question is enough on a healthy system.
    pub(crate) async fn pending(&self, version: u64) -> PendingView {
        let first = self.pending_once(version).await;
        if first.accepted || !first.missing.is_empty() {
            return first;
        }
        self.pending_once(version).await
    }

    async fn pending_once(&self, version: u64) -> PendingView {
        // In whole milliseconds, it might otherwise begin at the end of the last one.
        if self.clock.now() <= self.rolls.borrow().taken() {
            self.clock.sleep(Millis(2)).await;
        }
        let look = self.look(false).await;
        let state = self.rolls.borrow_mut().take(&look, version);
        let missing = match &state {
            RollState::Accepted => Vec::new(),
            RollState::Pending(hosts) => look.missing(hosts, version),
        };
        PendingView {
            version,
            accepted: state == RollState::Accepted,
            missing,
        }
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
        let fresh = heard.filter(|p| !is_outlived(p.silent));
        let mut names: Vec<HostName> = listed
            .chain(fresh.map(|p| &p.beat.host))
            .chain(self.replies.iter().map(|r| &r.own.host))
            .cloned()
            .collect();
        names.sort();
        names.dedup();
        names
    }

    /// Names the processes of `hosts` that lack `version`; a host whose processes all seem to have
    /// it, as far as others heard, is named as a whole.
    fn missing(&self, hosts: &[HostName], version: u64) -> Vec<Missing> {
        let seen = self.programs();
        let mut missing = Vec::new();
        for host in hosts {
            let before = missing.len();
            for program in PROGRAMS {
                let seen = seen.get(&(host.clone(), program));
                let has = seen.map(|(beat, _)| beat.version);
                if has.is_none_or(|has| has < version) {
                    missing.push(Missing {
                        host: host.clone(),
                        program: Some(program),
                        version: has,
                        silent_ms: seen.map_or(Millis::ZERO, |(_, silent)| *silent),
                    });
                }
            }
            if missing.len() == before {
                missing.push(Missing {
                    host: host.clone(),
                    program: None,
                    version: None,
                    silent_ms: Millis::ZERO,
                });
            }
        }
        missing
    }
}
