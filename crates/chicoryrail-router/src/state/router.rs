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
use chicoryrail_core::ServerName;
use chicoryrail_core::ServiceName;
use chicoryrail_core::Site;
use chicoryrail_ownership::DcReachability;
use chicoryrail_ownership::HostState;
use chicoryrail_ownership::Peers;
use chicoryrail_ownership::SchedulerHost;
use chicoryrail_ownership::store_key::LIVE;
use chicoryrail_ownership::term::Supporter;
use chicoryrail_platform::Boot;
use chicoryrail_platform::Feed;
use chicoryrail_platform::FeedLog;
use chicoryrail_platform::KeyControl;
use chicoryrail_platform::KvStore;
use chicoryrail_policy::QuotaTolerance;
use chicoryrail_policy::RetryLimits;
use chicoryrail_policy::WeightedRoundRobin;
use chicoryrail_runtime::ByteBudget;
use chicoryrail_runtime::ChangeSignal;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::Process;
use chicoryrail_runtime::SharedLimits;

use crate::Options;
use crate::messages::FEED_COUNT;
use crate::messages::PartName;
use crate::messages::PeerSocket;
use crate::state::Assignments;
use crate::state::Counters;
use crate::state::Crashes;
use crate::state::Forwarders;
use crate::state::InHand;
use crate::state::NewerKeys;
use crate::state::Organisations;
use crate::state::PendingQueries;
use crate::state::ProcessEnd;
use crate::state::QuotaShares;
use crate::state::RouteStats;
use crate::state::Schedulers;
use crate::state::ServerReach;
use crate::state::Service;
use crate::state::SourceState;
use crate::state::Target;
use crate::state::TrafficRules;
use crate::state::View;

/// Link speed in megabits per second below which a host leads and schedules only if hardly any other host can: its
/// replies queue behind downloads for longer than the hosts that query it wait.
const SLOW_LINK_MBPS: f64 = 50.0;

/// Divisor that reduces the advertised power of a host with a slow link.
const SLOW_LINK_POWER_DIVISOR: u32 = 50;

/// Time without a reply of its relay after which a leaf host counts as isolated from the other hosts.
const RELAY_REPLY_TIMEOUT: Millis = Millis(1_500);

/// Time after its start in which a host may not know how many others there are. After a power loss on all hosts,
/// shares computed from the few hosts known so far would add up to many times the shared limit.
const HOST_DISCOVERY_TIME: Millis = Millis(5_000);

/// Smallest number of hosts assumed within [`HOST_DISCOVERY_TIME`].
const ASSUMED_HOSTS_MIN: usize = 64;

/// Time without a relay request after which a leaf host no longer counts as one that uses this host as relay.
const LEAF_TIMEOUT: Millis = Millis(3_000);

/// Divisor of the memory limit of the process; the result is the memory for bodies of uploads and for responses. The rest
/// is for the connections' own buffers, the view of the store, and what the allocator does not return.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// State that all tasks of the process share: settings, view of the store, services, peers and metrics.
#[derive(Debug)]
pub(crate) struct Router {
    pub(crate) process: Process,
    pub(crate) options: Options,
    boot: RefCell<Rc<Boot>>,
    pub(crate) counters: Counters,
    pub(crate) store: KvStore,
    pub(crate) control: KeyControl,
    pub(crate) store_view: RefCell<View>,
    pub(crate) peers: RefCell<Peers>,
    /// Whether this host replies to the queries of leaders.
    pub(crate) supporter: Cell<Supporter>,
    /// Data centres whose servers answer this host.
    pub(crate) reach: RefCell<DcReachability>,
    /// Hosts that this one asks to pass requests on to servers that it can't reach.
    pub(crate) forwarders: Forwarders,
    /// Number of requests that this host is passing on for others.
    pub(crate) forwarding: Cell<u32>,
    /// Whether requests find a way to servers.
    pub(crate) server_reach: ServerReach,
    /// Memory for bodies of uploads, and for responses while the configuration has a route for uploads.
    pub(crate) budget: ByteBudget,
    /// HTTP limits for callers' connections.
    pub(crate) limits: SharedLimits,
    /// When the process ends, once it has been told to stop.
    pub(crate) process_end: ProcessEnd,
    /// Number of requests in progress.
    pub(crate) serving: Cell<u32>,
    /// The requests in progress that have been parsed.
    pub(crate) in_hand: InHand,
    /// Whether the store answered the last call. A leaf host also applies its relay's report on this.
    pub(crate) store_up: Cell<bool>,
    pub(crate) peer_socket: Rc<PeerSocket>,
    /// Slot queries that await the scheduler's decision.
    pub(crate) pending_queries: PendingQueries,
    /// This host's requests at servers, of routes that tolerate waiting.
    pub(crate) assignments: Assignments,
    /// The schedulers that run on this host.
    pub(crate) schedulers: Schedulers,
    /// Organisations of the configuration in force, and this host's standalone shares of their rate limits.
    pub(crate) organisations: Organisations,
    /// Quota tokens of organisations, for the requests that this host schedules.
    pub(crate) quota: QuotaShares,
    /// Requests under which servers ended.
    pub(crate) crashes: Crashes,
    /// An operator's rules for traffic.
    pub(crate) traffic: TrafficRules,
    /// Notified when the store answers again after an outage.
    pub(crate) store_recovered: ChangeSignal,
    /// When the store last failed to answer.
    pub(crate) store_lost: Cell<Option<Millis>>,
    /// Term in which this host leads; 0 while it does not.
    pub(crate) leading_term: Cell<u64>,
    /// Where this host reads the content of the store from: the store itself or a relay.
    pub(crate) source: SourceState,
    /// Recent changes of each feed of the store, for the hosts that use this one as relay.
    pub(crate) feed_logs: RefCell<[FeedLog; FEED_COUNT]>,
    /// Notified when there may be updates for the hosts that use this one as relay.
    pub(crate) feed_changed: ChangeSignal,
    /// Leader that has newer key maps.
    pub(crate) newer_keys: NewerKeys,
    /// Time of the last request of each leaf host that uses this one as relay.
    pub(crate) leaf_requests: RefCell<HashMap<HostName, Millis>>,
    services: RefCell<HashMap<ServiceName, Rc<Service>>>,
    /// Service and incarnation under which each server has a target.
    pub(super) registrations: RefCell<HashMap<ServerName, (ServiceName, Life)>>,
    /// Weighted round robin of each route over its services.
    round_robins: RefCell<HashMap<String, WeightedRoundRobin>>,
    /// What was observed of each route's responses.
    pub(crate) route_stats: RouteStats,
}

impl Router {
    /// Creates the state of a process that has not read the store yet.
    pub(crate) fn new(boot: Boot, options: Options, peer_socket: &Rc<PeerSocket>) -> Rc<Self> {
        let process = Process::new();
        let limits = HttpLimits {
            max_connections: max_connections(&boot),
            ..HttpLimits::default()
        };
        Rc::new(Self {
            counters: Counters::new(&process.metrics),
            store: KvStore::new(boot.store.addr).with_max_value(boot.store.value),
            control: KeyControl::default(),
            store_view: RefCell::default(),
            peers: RefCell::default(),
            supporter: Cell::default(),
            reach: RefCell::default(),
            forwarders: Forwarders::default(),
            forwarding: Cell::new(0),
            server_reach: ServerReach::default(),
            budget: ByteBudget::new(body_memory(&boot)),
            limits: Rc::new(Cell::new(limits)),
            process_end: ProcessEnd::default(),
            serving: Cell::new(0),
            in_hand: InHand::default(),
            store_up: Cell::new(false),
            peer_socket: Rc::clone(peer_socket),
            pending_queries: PendingQueries::default(),
            assignments: Assignments::default(),
            schedulers: Schedulers::default(),
            organisations: Organisations::new(),
            quota: QuotaShares::default(),
            crashes: Crashes::default(),
            traffic: TrafficRules::default(),
            store_recovered: ChangeSignal::default(),
            store_lost: Cell::new(None),
            leading_term: Cell::new(0),
            source: SourceState::default(),
            feed_logs: RefCell::default(),
            feed_changed: ChangeSignal::default(),
            newer_keys: NewerKeys::default(),
            leaf_requests: RefCell::default(),
            services: RefCell::default(),
            registrations: RefCell::default(),
            round_robins: RefCell::default(),
            route_stats: RouteStats::default(),
            process,
            options,
            boot: RefCell::new(Rc::new(boot)),
        })
    }

    /// Returns the settings from the platform's boot file.
    pub(crate) fn boot(&self) -> Rc<Boot> {
        Rc::clone(&self.boot.borrow())
    }

    /// Replaces the settings and returns `true` if they changed. New addresses take effect at the next start, since the
    /// sockets are already bound.
    pub(crate) fn reload(&self, boot: Boot) -> bool {
        let changed = **self.boot.borrow() != boot;
        self.budget.set_limit(body_memory(&boot));
        self.process_end.limit_grace(self.now(), boot.bounds.grace);
        *self.boot.borrow_mut() = Rc::new(boot);
        changed
    }

    /// Returns the time on the clock of the process, which starts at zero.
    pub(crate) fn now(&self) -> Millis {
        self.process.clock.now()
    }

    /// Returns the configuration in force.
    pub(crate) fn site(&self) -> Option<Rc<Site>> {
        self.store_view.borrow().site().cloned()
    }

    /// Returns the budget that responses count against; `None` if the configuration has no route for uploads.
    pub(crate) fn response_budget(&self) -> Option<&ByteBudget> {
        let view = self.store_view.borrow();
        view.site()?.has_uploads().then_some(&self.budget)
    }

    /// Returns `true` if this host has a configuration and knows the blocked requests.
    pub(crate) fn has_first_content(&self) -> bool {
        let view = self.store_view.borrow();
        view.site().is_some() && view.read_revision(Feed::Own(LIVE)).is_some()
    }

    /// Returns a service; an unknown one is added without servers.
    pub(crate) fn service(&self, name: &ServiceName) -> Rc<Service> {
        if let Some(service) = self.services.borrow().get(name) {
            return Rc::clone(service);
        }
        let service = Service::new(name);
        let mut services = self.services.borrow_mut();
        services.insert(name.clone(), Rc::clone(&service));
        service
    }

    /// Returns the incarnation under which a server of this service is registered.
    pub(crate) fn registered_life(
        &self,
        service: &ServiceName,
        server: &ServerName,
    ) -> Option<Life> {
        let registrations = self.registrations.borrow();
        let (registered, life) = registrations.get(server)?;
        (registered == service).then(|| life.clone())
    }

    /// Returns all known services.
    pub(crate) fn services(&self) -> Vec<Rc<Service>> {
        self.services.borrow().values().cloned().collect()
    }

    /// Returns `true` if this host leads, or received a heartbeat of the leader within `age`.
    pub(crate) fn leader_seen_within(&self, age: Millis) -> bool {
        self.leading_term.get() > 0 || self.peers.borrow().leader_seen_within(self.now(), age)
    }

    /// Returns the CPU capacity that this host advertises for leading and scheduling, in thousandths of a core; a slow
    /// link reduces it.
    pub(crate) fn power(&self) -> u32 {
        let limits = self.boot().limits;
        let core = (limits.cpu * 1_000.0) as u32;
        if limits.link_mbps < SLOW_LINK_MBPS {
            return (core / SLOW_LINK_POWER_DIVISOR).max(1);
        }
        core
    }

    /// Returns `true` if this host schedules requests for servers: a core host does unless it is stopping.
    pub(crate) fn schedules(&self) -> bool {
        self.source.is_core_host.get() && !self.process.stop.is_cancelled()
    }

    /// Returns the address at which this host exchanges messages with other hosts.
    pub(crate) fn peer_addr(&self) -> SocketAddr {
        let boot = self.boot();
        SocketAddr::new(boot.ip, *boot.ports.start())
    }

    /// Returns the state that this host reports in its heartbeats.
    pub(crate) fn host_state(&self) -> HostState {
        HostState {
            store_reachable: self.store_up.get(),
            reachable_dcs: self.reach.borrow().reachable_dcs(self.now()),
            power: self.power(),
            schedules: self.schedules(),
            dc: Some(self.boot().dc.clone()),
            watches: self.source.watches(),
            leaf_hosts: self.leaf_count(),
        }
    }

    /// Returns the number of leaf hosts that use this one as relay.
    pub(crate) fn leaf_count(&self) -> u32 {
        let now = self.now();
        let mut requests = self.leaf_requests.borrow_mut();
        requests.retain(|_, last| now.since(*last) <= LEAF_TIMEOUT);
        requests.len() as u32
    }

    /// Returns the time since the last heartbeat of the leader: zero if this host leads, `None` if none was received.
    pub(crate) fn leader_age(&self) -> Option<Millis> {
        if self.leading_term.get() > 0 {
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
        self.select_scheduler(dc, &(&service.name, server))
    }

    /// Returns the host that schedules the requests for a part of a service that is not keyed.
    pub(crate) fn part_scheduler(&self, part: &PartName) -> SchedulerHost {
        self.select_scheduler(part.dc.as_ref(), part)
    }

    /// Returns the host that schedules the requests for a server.
    pub(crate) fn target_scheduler(&self, service: &Service, target: &Target) -> SchedulerHost {
        if service.is_keyed() {
            return self.select_scheduler(Some(&target.dc), &(&service.name, Some(&target.life)));
        }
        self.part_scheduler(&service.part_of(&target.dc))
    }

    /// Selects a scheduler for `name` by rendezvous hashing, preferring powerful hosts in `dc`.
    fn select_scheduler(&self, dc: Option<&DcName>, name: &impl Hash) -> SchedulerHost {
        let boot = self.boot();
        let own_state = HostState {
            power: self.power(),
            schedules: self.schedules(),
            dc: Some(boot.dc.clone()),
            ..HostState::default()
        };
        let peers = self.peers.borrow();
        peers.scheduler(self.now(), (&boot.host, &own_state), dc, name)
    }

    /// Returns `true` if this host can't reach a server with keys that another host reaches, or fails to reach most
    /// servers of a service with keys.
    pub(crate) fn misses_key_paths(&self) -> bool {
        let now = self.now();
        let services = self.services.borrow();
        let mut keyed = services.values().filter(|s| s.is_keyed());
        keyed.any(|s| s.has_lost_paths() || s.doubts_paths(now))
    }

    /// Returns `true` if another host is so much more powerful that it should lead, and reaches all data centres that
    /// this one reaches.
    pub(crate) fn has_stronger_peer(&self) -> bool {
        let now = self.now();
        let reachable = self.reach.borrow().reachable_dcs(now);
        let peers = self.peers.borrow();
        peers.has_stronger_peer(now, self.power(), &reachable)
    }

    /// Returns the limits on retries, which all hosts share.
    pub(crate) fn retry_limits(&self) -> RetryLimits {
        let bounds = self.boot().bounds;
        RetryLimits {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
            hosts: self.peers.borrow().sharing_hosts(),
        }
    }

    /// Returns by how much all hosts together may exceed an organisation's limit.
    pub(crate) fn quota_tolerance(&self) -> QuotaTolerance {
        let bounds = self.boot().bounds;
        QuotaTolerance {
            ratio: bounds.quota_over,
            slack: bounds.quota_slack,
            window: bounds.quota_window,
        }
    }

    /// Returns `true` if this process started so recently that it may not know how many hosts there are.
    pub(crate) fn is_discovering_hosts(&self, now: Millis) -> bool {
        now < HOST_DISCOVERY_TIME
    }

    /// Returns the number of hosts among which a limit is divided for requests that no scheduler counts.
    pub(crate) fn standalone_hosts(&self) -> usize {
        let known = self.peers.borrow().sharing_hosts();
        if self.is_discovering_hosts(self.now()) {
            return known.max(ASSUMED_HOSTS_MIN);
        }
        known
    }

    /// Returns `true` if requests with API keys may be served: the configuration was verified to be current within the
    /// bound on the delay of revocations.
    pub(crate) fn is_config_fresh(&self, now: Millis) -> bool {
        let bound = self.boot().bounds.revoke;
        let freshness = self.organisations.freshness();
        bound.is_none_or(|bound| freshness.is_fresh(now, bound))
    }

    /// Returns `true` if this host recently received messages of any other: heartbeats on a core host, replies of the
    /// relay on a leaf host.
    pub(crate) fn has_peer_contact(&self, now: Millis) -> bool {
        if self.source.is_core_host.get() {
            return self.peers.borrow().recent_peers(now).next().is_some();
        }
        now.since(self.source.last_relay_reply.get()) <= RELAY_REPLY_TIMEOUT
    }

    /// Returns `true` if the store may have been down at some time within the last `age`. A process that has not run
    /// for that long can't know and returns `true`.
    pub(crate) fn store_was_down(&self, now: Millis, age: Millis) -> bool {
        let lost = self.store_lost.get();
        now <= age || !self.store_up.get() || lost.is_some_and(|at| now.since(at) <= age)
    }

    /// Returns the bound on requests per second that this host, and those that it sees, may send to a server that is
    /// warming up: their share of the bound for all hosts.
    pub(crate) fn warmup_rate_max(&self, service: &ServiceName) -> f64 {
        let bounds = self.boot().bounds;
        let site = self.site();
        let rate = site.and_then(|s| s.service(service).map(|s| s.warmup_rate_max));
        let all_hosts = rate.unwrap_or(0.0) * bounds.cold_over + bounds.cold_slack;
        all_hosts * self.visible_share()
    }

    /// Returns the part of a limit over all hosts that is for this host and those that it sees; 0 if this host does not
    /// schedule for others.
    pub(crate) fn visible_share(&self) -> f64 {
        let peers = self.peers.borrow();
        peers.visible_share(self.now(), self.schedules())
    }

    /// Returns when this host began to schedule a server for other hosts. A leaf host that knew no core host scheduled for
    /// itself before it became one.
    pub(crate) fn scheduled_since(&self, target: &Target) -> Millis {
        target
            .scheduled_since
            .get()
            .max(self.source.core_since.get())
    }

    /// Returns the index of the next service of a route by weighted round robin. The start depends on the process, so
    /// that hosts do not all begin with the same one.
    pub(crate) fn next_weighted(&self, route: &str, weights: &[u32]) -> usize {
        let mut round_robins = self.round_robins.borrow_mut();
        let round_robin = round_robins.entry(route.to_owned()).or_default();
        let start = (self.process.instance_id % 1_000) as f64 / 1_000.0;
        round_robin.next(weights, start)
    }
}

/// Returns the memory for bodies, in bytes.
fn body_memory(boot: &Boot) -> u64 {
    boot.limits.memory_mb.saturating_mul(1_000_000) / BODY_MEMORY_DIVISOR
}

/// Returns the maximum number of callers' connections for the file descriptors of the process: a quarter is left for
/// servers, the store and other hosts.
fn max_connections(boot: &Boot) -> u32 {
    boot.limits.fds.saturating_sub(300).max(64) / 4 * 3
}
