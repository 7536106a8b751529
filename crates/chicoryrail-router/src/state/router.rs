//! The state that all tasks of the process share, on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use chicoryrail_core::HostName;
use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_core::Site;
use chicoryrail_ownership::Peers;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_platform::Boot;
use chicoryrail_platform::KeyControl;
use chicoryrail_platform::KvStore;
use chicoryrail_policy::RetryBound;
use chicoryrail_policy::WeightedTurn;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::Process;
use chicoryrail_runtime::ServerPool;
use chicoryrail_runtime::SharedLimits;
use chicoryrail_runtime::Signal;
use http::HeaderValue;

use crate::Options;
use crate::state::Asks;
use crate::state::Belief;
use crate::state::Counters;
use crate::state::Hall;
use crate::state::Intake;
use crate::state::Service;
use crate::state::Target;
use crate::state::View;
use crate::state::drain_end;
use crate::state::view::Registered;
use crate::talk::Talk;

/// Start of the keys of hosts, below the system's own prefix.
pub(crate) const HOSTS: &str = "hosts/";

/// Start of the keys of key records, below the system's own prefix.
pub(crate) const KEYS: &str = "keys/";

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
    /// Bounds on callers' connections.
    pub(crate) limits: SharedLimits,
    /// Requests being served.
    pub(crate) serving: Cell<u32>,
    /// Whether the last call to the store was answered.
    pub(crate) store_up: Cell<bool>,
    pub(crate) talk: Rc<Talk>,
    /// Requests that wait for the desk's word.
    pub(crate) asks: Asks,
    /// The desks, while this host leads.
    pub(crate) hall: Hall,
    /// Notified when the store answers again after an outage.
    pub(crate) store_returns: Signal,
    /// When the store last failed to answer.
    pub(crate) store_lost: Cell<Option<Millis>>,
    /// Term in which this host leads; 0 while it does not.
    pub(crate) leads: Cell<u64>,
    services: RefCell<HashMap<ServiceName, Rc<Service>>>,
    turns: RefCell<HashMap<String, WeightedTurn>>,
    works: RefCell<HashMap<String, f64>>,
}

impl Router {
    /// Builds the state of a process that knows nothing yet.
    pub(crate) fn new(boot: Boot, options: Options, talk: &Rc<Talk>) -> Rc<Self> {
        let process = Process::new(&boot.host, "chicoryrail-router");
        let limits = HttpLimits {
            connections: connections(&boot),
            ..HttpLimits::default()
        };
        Rc::new(Self {
            counters: Counters::new(&process.metrics),
            store: KvStore::new(boot.store.addr),
            control: KeyControl::default(),
            view: RefCell::default(),
            peers: RefCell::default(),
            limits: Rc::new(Cell::new(limits)),
            serving: Cell::new(0),
            store_up: Cell::new(false),
            talk: Rc::clone(talk),
            asks: Asks::default(),
            hall: Hall::default(),
            store_returns: Signal::default(),
            store_lost: Cell::new(None),
            leads: Cell::new(0),
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

    /// Tells whether the store was away at some moment of the last `age`.
    pub(crate) fn store_was_away(&self, now: Millis, age: Millis) -> bool {
        let lost = self.store_lost.get();
        !self.store_up.get() || lost.is_some_and(|at| now.since(at) <= age)
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

    /// Brings the servers and keys in line with what the store says, and logs what changed.
    pub(crate) fn believe(&self, told: &[Belief]) {
        for belief in told {
            self.log(belief);
            if let Belief::Own(key) = belief {
                self.read_own(key);
            }
        }
        let gone = self.view.borrow_mut().expire(self.now());
        if !told.is_empty() || !gone.is_empty() {
            self.sync();
        }
    }

    fn read_own(&self, key: &str) {
        if key.starts_with(HOSTS) {
            self.read_hosts();
        }
        let Some(service) = key.strip_prefix(KEYS) else {
            return;
        };
        let view = self.view.borrow();
        let Some(item) = view.own(key) else {
            return;
        };
        match serde_json::from_slice::<KeyRecord>(&item.value) {
            Ok(record) => {
                let service = self.service(&ServiceName::new(service));
                self.key_record(&service, record);
            }
            Err(e) => log::error!(key = key, error:% = e; "bad_record"),
        }
    }

    /// Brings the list of other hosts in line with the store.
    fn read_hosts(&self) {
        let own = self.boot().host.clone();
        let view = self.view.borrow();
        let hosts = view.own_below(HOSTS).filter_map(|(key, item)| {
            let name = HostName::new(key.strip_prefix(HOSTS)?);
            let addr = std::str::from_utf8(&item.value).ok()?.parse().ok()?;
            (name != own).then_some((name, addr))
        });
        self.peers.borrow_mut().set(hosts.collect());
    }

    /// Takes in a key record from the store or the leader.
    pub(crate) fn key_record(&self, service: &Service, record: KeyRecord) {
        let (fence, spans) = (record.fence, record.spans.len());
        if service.keys.borrow_mut().record(self.now(), record) {
            log::info!(service:% = service.name, fence = fence, spans = spans; "key_record");
            service.changed.notify();
        }
    }

    fn sync(&self) {
        let view = self.view.borrow();
        if let Some(site) = view.site() {
            self.counters.config.set(site.version as i64);
            let mut limits = self.limits.get();
            limits.head = site.limits.head;
            limits.head_time = site.limits.idle.max(site.limits.head_time);
            self.limits.set(limits);
        }
        let mut present: HashMap<ServiceName, Vec<Life>> = HashMap::new();
        for entry in view.servers() {
            let name = &entry.member.service;
            let lives = present.entry(name.clone()).or_default();
            lives.push(entry.member.life.clone());
            self.sync_target(&view, &self.service(name), entry);
        }
        for service in self.services() {
            let lives = present.remove(&service.name).unwrap_or_default();
            let mut targets = service.targets.borrow_mut();
            targets.retain(|life, target| {
                let keep = lives.contains(life);
                if !keep {
                    target.intake.set(Intake::Closed);
                    target.pool.clear();
                    service.loads.borrow_mut().forget(target.id);
                }
                keep
            });
            service.changed.notify();
        }
    }

    fn sync_target(&self, view: &View, service: &Service, entry: &Registered) {
        let member = &entry.member;
        let mut targets = service.targets.borrow_mut();
        let old = targets.get(&member.life).filter(|t| t.addr == member.addr);
        let target = match old {
            Some(target) => Rc::clone(target),
            None => {
                let Ok(header) = HeaderValue::from_str(member.life.name.as_str()) else {
                    log::warn!(server:% = member.life.name; "bad_server_name");
                    return;
                };
                let target = Rc::new(Target {
                    life: member.life.clone(),
                    id: service.next_id(),
                    addr: member.addr,
                    dc: member.dc.clone(),
                    known: self.now(),
                    header,
                    pool: ServerPool::default(),
                    cold: RefCell::default(),
                    cold_until: Cell::default(),
                    slots: Cell::new(member.slots),
                    intake: Cell::new(Intake::Closed),
                });
                targets.insert(member.life.clone(), Rc::clone(&target));
                target
            }
        };
        // A warm server may become cold again at any moment, under the same start.
        target.cold_for(entry.heard, member.cold);
        target.slots.set(member.slots);
        service.loads.borrow_mut().set(target.id, member.slots);
        let spec = view.site().and_then(|s| s.service(&service.name));
        service.keyed.set(spec.is_some_and(|s| s.keyed));
        let connections = spec.map_or(u32::MAX, |s| s.connections);
        let part = connections / self.peers.borrow().sharing() as u32;
        target.pool.set_cap(member.slots, part.max(2));
        let intake = if view.is_out(&member.dc) {
            Intake::Closed
        } else if entry.is_ready() && entry.missing.is_none() {
            Intake::Open
        } else {
            let since = entry.missing.unwrap_or(entry.since);
            Intake::Until(drain_end(since, self.boot().bounds.drain))
        };
        if intake == Intake::Closed || !entry.is_ready() {
            target.pool.clear();
        }
        target.intake.set(intake);
    }

    fn log(&self, belief: &Belief) {
        let revision = self.view.borrow().revision;
        match belief {
            Belief::Config { from, to } => {
                log::info!(from = from, version = to, revision = revision; "config_in_force");
            }
            Belief::OldConfig { version, kept } => {
                log::warn!(version = version, kept = kept; "config_not_newer");
            }
            Belief::TakenOut(dc) => log::info!(dc:% = dc, revision = revision; "dc_out"),
            Belief::TakenBack(dc) => log::info!(dc:% = dc, revision = revision; "dc_back"),
            Belief::Server(name) => {
                let view = self.view.borrow();
                let entry = view.servers().find(|e| e.member.life.name == *name);
                if let Some(Registered { member, .. }) = entry {
                    log::info!(server:% = member.life, service:% = member.service, dc:% = member.dc,
                        state:? = member.state, cold_ms = member.cold.0, revision = revision; "server");
                }
            }
            Belief::ServerGone(name) => {
                log::info!(server:% = name, revision = revision; "server_entry_gone");
            }
            Belief::Unreadable(e) => {
                self.counters.bad_entries.inc();
                log::warn!(entry = e.entry, field = e.field, reason = e.reason; "bad_entry");
            }
            Belief::Own(_) => {}
        }
    }
}

/// Returns how many connections of callers a process with its file descriptors may have: a quarter stays
/// for servers, the store and other hosts.
fn connections(boot: &Boot) -> u32 {
    boot.limits.fds.saturating_sub(300).max(64) / 4 * 3
}
