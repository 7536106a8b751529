//! The state that all tasks of the process share, on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_core::Site;
use chicoryrail_ownership::HostState;
use chicoryrail_ownership::Peers;
use chicoryrail_ownership::Reach;
use chicoryrail_ownership::SchedulerHost;
use chicoryrail_platform::Boot;
use chicoryrail_platform::FeedLog;
use chicoryrail_platform::KeyControl;
use chicoryrail_platform::KvStore;
use chicoryrail_policy::Allowance;
use chicoryrail_policy::RetryBound;
use chicoryrail_policy::WeightedTurn;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::Process;
use chicoryrail_runtime::SharedLimits;
use chicoryrail_runtime::Signal;

use crate::Options;
use crate::state::Asks;
use crate::state::Counters;
use crate::state::Organisations;
use crate::state::QuotaShares;
use crate::state::Schedulers;
use crate::state::Service;
use crate::state::SourceState;
use crate::state::Target;
use crate::state::View;
use crate::talk::FEED_COUNT;
use crate::talk::PartName;
use crate::talk::Talk;

/// Speed of a link in megabits a second below which a host leads and schedules only where hardly any other does: its
/// replies wait behind downloads, longer than those that ask wait for them.
const SLOW_LINK_MBPS: f64 = 50.0;

/// Part of its strength that a host with a slow link counts with.
const SLOW_LINK_POWER_DIVISOR: u32 = 50;

/// Time without a relay's reply after which a leaf host counts as cut off from the other hosts.
const ALONE_AFTER: Millis = Millis(1_500);

/// Time after its start in which a host may not know how many others there are. After a loss of power on all hosts,
/// parts by the few that it knows would add up to many times what they share.
const UNSURE_OF_HOSTS_TIME: Millis = Millis(5_000);

/// Hosts that are assumed in that time.
const UNKNOWN_HOSTS: usize = 64;

/// Time without a request of a leaf host after which it no longer counts as one that follows this host.
const LEAF_TIMEOUT: Millis = Millis(3_000);

/// The process.
#[derive(Debug)]
pub(crate) struct Router {
    pub(crate) process: Process,
    pub(crate) options: Options,
    boot: RefCell<Rc<Boot>>,
    pub(crate) counters: Counters,
    pub(crate) store: KvStore,
    pub(crate) control: KeyControl,
    pub(crate) view: RefCell<View>,
    pub(crate) peers: RefCell<Peers>,
    /// Which data centres' servers answer this host.
    pub(crate) reach: RefCell<Reach>,
    /// Bounds on callers' connections.
    pub(crate) limits: SharedLimits,
    /// Requests being served.
    pub(crate) serving: Cell<u32>,
    /// Whether the last call to the store was answered.
    pub(crate) store_up: Cell<bool>,
    pub(crate) talk: Rc<Talk>,
    /// Requests that wait for the scheduler's reply.
    pub(crate) asks: Asks,
    /// The requests for which this host schedules.
    pub(crate) schedulers: Schedulers,
    /// The organisations that callers belong to.
    pub(crate) organisations: Organisations,
    /// Tokens of organisations' limits for the requests that this host schedules.
    pub(crate) quota: QuotaShares,
    /// Notified when the store answers again after an outage.
    pub(crate) store_returns: Signal,
    /// When the store last failed to answer.
    pub(crate) store_lost: Cell<Option<Millis>>,
    /// Term in which this host leads; 0 while it does not.
    pub(crate) leads: Cell<u64>,
    /// From whom this host hears what the store says.
    pub(crate) source: SourceState,
    /// The parts of the store as hosts hear them that follow this one.
    pub(crate) feed_logs: RefCell<[FeedLog; FEED_COUNT]>,
    /// Notified when there may be news for hosts that follow this one.
    pub(crate) news: Signal,
    /// When each leaf host that follows this one asked last.
    pub(crate) leaves: RefCell<HashMap<HostName, Millis>>,
    services: RefCell<HashMap<ServiceName, Rc<Service>>>,
    turns: RefCell<HashMap<String, WeightedTurn>>,
    works: RefCell<HashMap<String, f64>>,
}

impl Router {
    /// Builds the state of a process that knows nothing yet.
    pub(crate) fn new(boot: Boot, options: Options, talk: &Rc<Talk>) -> Rc<Self> {
        let process = Process::new();
        let limits = HttpLimits {
            connections: connections(&boot),
            ..HttpLimits::default()
        };
        Rc::new(Self {
            counters: Counters::new(&process.metrics),
            store: KvStore::new(boot.store.addr).with_largest(boot.store.value),
            control: KeyControl::default(),
            view: RefCell::default(),
            peers: RefCell::default(),
            reach: RefCell::default(),
            limits: Rc::new(Cell::new(limits)),
            serving: Cell::new(0),
            store_up: Cell::new(false),
            talk: Rc::clone(talk),
            asks: Asks::default(),
            schedulers: Schedulers::default(),
            organisations: Organisations::new(),
            quota: QuotaShares::default(),
            store_returns: Signal::default(),
            store_lost: Cell::new(None),
            leads: Cell::new(0),
            source: SourceState::default(),
            feed_logs: RefCell::default(),
            news: Signal::default(),
            leaves: RefCell::default(),
            services: RefCell::default(),
            turns: RefCell::default(),
            works: RefCell::default(),
            process,
            options,
            boot: RefCell::new(Rc::new(boot)),
        })
    }

    /// Returns the settings that the platform gave.
    pub(crate) fn boot(&self) -> Rc<Boot> {
        Rc::clone(&self.boot.borrow())
    }

    /// Takes in settings that changed. Addresses hold until the next start: the sockets are bound.
    pub(crate) fn reload(&self, boot: Boot) -> bool {
        let changed = **self.boot.borrow() != boot;
        *self.boot.borrow_mut() = Rc::new(boot);
        changed
    }

    /// Reads the clock.
    pub(crate) fn now(&self) -> Millis {
        self.process.clock.now()
    }

    /// Returns the configuration in force.
    pub(crate) fn site(&self) -> Option<Rc<Site>> {
        self.view.borrow().site().cloned()
    }

    /// Returns a service, without servers where it is new.
    pub(crate) fn service(&self, name: &ServiceName) -> Rc<Service> {
        if let Some(service) = self.services.borrow().get(name) {
            return Rc::clone(service);
        }
        let service = Service::new(name);
        let mut services = self.services.borrow_mut();
        services.insert(name.clone(), Rc::clone(&service));
        service
    }

    /// Returns the services known.
    pub(crate) fn services(&self) -> Vec<Rc<Service>> {
        self.services.borrow().values().cloned().collect()
    }

    /// Tells whether this host leads, or heard the leader within `age`.
    pub(crate) fn hears_leader(&self, age: Millis) -> bool {
        self.leads.get() > 0 || self.peers.borrow().hears_leader(self.now(), age)
    }

    /// Returns the thousandths of a core that this host has to lead and to schedule with.
    pub(crate) fn power(&self) -> u32 {
        let limits = self.boot().limits;
        let core = (limits.cpu * 1_000.0) as u32;
        if limits.link_mbps < SLOW_LINK_MBPS {
            return (core / SLOW_LINK_POWER_DIVISOR).max(1);
        }
        core
    }

    /// Tells whether this host schedules requests for servers: a core host does, but not while it stops.
    pub(crate) fn schedules(&self) -> bool {
        self.source.core.get() && !self.process.stop.is_cancelled()
    }

    /// Returns the address of this host's talk with the others.
    pub(crate) fn talk_addr(&self) -> SocketAddr {
        let boot = self.boot();
        SocketAddr::new(boot.ip, *boot.ports.start())
    }

    /// Returns what this host says of itself.
    pub(crate) fn host_state(&self) -> HostState {
        HostState {
            store: self.store_up.get(),
            reaches: self.reach.borrow().lately(self.now()),
            power: self.power(),
            schedules: self.schedules(),
            dc: Some(self.boot().dc.clone()),
            watches: self.source.watches(),
            leaves: self.leaves(),
        }
    }

    /// Returns the number of leaf hosts that follow this one.
    pub(crate) fn leaves(&self) -> u32 {
        let now = self.now();
        let mut leaves = self.leaves.borrow_mut();
        leaves.retain(|_, asked| now.since(*asked) <= LEAF_TIMEOUT);
        leaves.len() as u32
    }

    /// Returns the time since the leader was heard; none where this host leads.
    pub(crate) fn leader_age(&self) -> Option<Millis> {
        if self.leads.get() > 0 {
            return Some(Millis::ZERO);
        }
        self.peers.borrow().leader_age(self.now())
    }

    /// Returns the host that schedules the requests for a server of a keyed service.
    pub(crate) fn server_scheduler(
        &self,
        service: &Service,
        server: Option<&Life>,
    ) -> SchedulerHost {
        let target = server.and_then(|life| service.target(life));
        let dc = target.as_ref().map(|t| &t.dc);
        self.draw_scheduler(dc, &(&service.name, server))
    }

    /// Returns the host that schedules the requests for a part of a service without keys.
    pub(crate) fn part_scheduler(&self, part: &PartName) -> SchedulerHost {
        self.draw_scheduler(part.dc.as_ref(), part)
    }

    /// Returns the host that schedules the requests for a server.
    pub(crate) fn target_scheduler(&self, service: &Service, target: &Target) -> SchedulerHost {
        if service.is_keyed() {
            return self.draw_scheduler(Some(&target.dc), &(&service.name, Some(&target.life)));
        }
        self.part_scheduler(&service.part_in(&target.dc))
    }

    fn draw_scheduler(&self, dc: Option<&DcName>, name: &impl Hash) -> SchedulerHost {
        let boot = self.boot();
        let said = HostState {
            power: self.power(),
            schedules: self.schedules(),
            dc: Some(boot.dc.clone()),
            ..HostState::default()
        };
        let peers = self.peers.borrow();
        peers.scheduler(self.now(), (&boot.host, &said), dc, name)
    }

    /// Tells whether another host is so much stronger that it should lead, and reaches all that this one does.
    pub(crate) fn knows_stronger(&self) -> bool {
        let now = self.now();
        let reaches = self.reach.borrow().lately(now);
        let peers = self.peers.borrow();
        peers.stronger(now, self.power(), &reaches)
    }

    /// Returns the bound on repeats that holds over all hosts.
    pub(crate) fn retry_bound(&self) -> RetryBound {
        let bounds = self.boot().bounds;
        RetryBound {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
            hosts: self.peers.borrow().sharing(),
        }
    }

    /// Returns by what an organisation's limit may be exceeded over all hosts.
    pub(crate) fn quota_allowance(&self) -> Allowance {
        let bounds = self.boot().bounds;
        Allowance {
            over: bounds.quota_over,
            slack: bounds.quota_slack,
            window: bounds.quota_window,
        }
    }

    /// Tells whether this process started so short a time ago that it may not know how many hosts there are.
    pub(crate) fn is_unsure_of_hosts(&self, now: Millis) -> bool {
        now < UNSURE_OF_HOSTS_TIME
    }

    /// Returns the number of hosts among which the part of a limit is shared that no scheduler counts.
    pub(crate) fn lone_hosts(&self) -> usize {
        let known = self.peers.borrow().sharing();
        if self.is_unsure_of_hosts(self.now()) {
            return known.max(UNKNOWN_HOSTS);
        }
        known
    }

    /// Tells whether API keys may be served: the configuration was current within the bound on revocations.
    pub(crate) fn knows_revocations(&self, now: Millis) -> bool {
        let bound = self.boot().bounds.revoke;
        let freshness = self.organisations.freshness();
        bound.is_none_or(|bound| freshness.holds(now, bound))
    }

    /// Tells whether this host hears any other.
    pub(crate) fn hears_hosts(&self, now: Millis) -> bool {
        if self.source.core.get() {
            return self.peers.borrow().heard_lately(now).next().is_some();
        }
        now.since(self.source.replied.get()) <= ALONE_AFTER
    }

    /// Tells whether the store may have been away at some moment of the last `age`. A process that has not
    /// run for so long can't know.
    pub(crate) fn store_was_away(&self, now: Millis, age: Millis) -> bool {
        let lost = self.store_lost.get();
        now <= age || !self.store_up.get() || lost.is_some_and(|at| now.since(at) <= age)
    }

    /// Tells whether this host and every other one says that the store is away. A successor that has the
    /// store can't be among them, so it may take it that no grant was made for the time of an outage.
    pub(crate) fn all_lost_store(&self, now: Millis) -> bool {
        !self.store_up.get() && self.peers.borrow().all_lost_store(now)
    }

    /// Returns what a cold server of a service bears in a second from all hosts together.
    pub(crate) fn cold_bound(&self, service: &ServiceName) -> f64 {
        let bounds = self.boot().bounds;
        let site = self.site();
        let rate = site.and_then(|s| s.service(service).map(|s| s.cold_rate));
        rate.unwrap_or(0.0) * bounds.cold_over + bounds.cold_slack
    }

    /// Returns the index of the part whose turn it is on a route.
    pub(crate) fn turn(&self, route: &str, weights: &[u32]) -> usize {
        let mut turns = self.turns.borrow_mut();
        let turn = turns.entry(route.to_owned()).or_default();
        let start = (self.process.instance % 1_000) as f64 / 1_000.0;
        turn.next(weights, start)
    }

    /// Returns how long a usual server works on a request of the route, in microseconds; at first a third
    /// of the time that the caller aims at.
    pub(crate) fn work(&self, route: &str, aim: Millis) -> f64 {
        let works = self.works.borrow();
        works.get(route).copied().unwrap_or(aim.0 as f64 * 333.0)
    }

    /// Takes in how long a request of the route took.
    pub(crate) fn worked(&self, route: &str, aim: Millis, us: f64) {
        /// Part of a new observation in the mean.
        const PART: f64 = 0.05;
        let before = self.work(route, aim);
        let after = before + (us.min(before * 5.0) - before) * PART;
        self.works.borrow_mut().insert(route.to_owned(), after);
    }
}

/// Returns how many connections of callers a process with its file descriptors may have: a quarter stays
/// for servers, the store and other hosts.
fn connections(boot: &Boot) -> u32 {
    boot.limits.fds.saturating_sub(300).max(64) / 4 * 3
}
