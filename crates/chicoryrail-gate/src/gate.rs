//! The state that all tasks of the process share, on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use chicoryrail_core::Config;
use chicoryrail_core::HostName;
use chicoryrail_core::Kind;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::Service;
use chicoryrail_core::ServiceName;
use chicoryrail_core::ShardId;
use chicoryrail_platform::HttpTargets;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::Process;
use chicoryrail_runtime::Signal;
use chicoryrail_wire::Heartbeat;
use chicoryrail_wire::HostState;
use chicoryrail_wire::Peer;
use chicoryrail_wire::Role;

use crate::Placement;
use crate::Settings;
use crate::counters::Counters;
use crate::free::Free;
use crate::server::Server;
use crate::service::Entry;
use crate::service::Services;
use crate::shard::Shard;

/// A gate.
#[derive(Debug)]
pub(crate) struct Gate {
    pub(crate) process: Process,
    pub(crate) settings: Settings,
    pub(crate) counters: Counters,
    pub(crate) targets: HttpTargets,
    /// Other gates by host.
    pub(crate) gates: RefCell<HashMap<HostName, Peer>>,
    /// Controllers by host.
    pub(crate) controllers: RefCell<HashMap<HostName, Peer>>,
    pub(crate) servers: RefCell<HashMap<ServerName, Rc<Server>>>,
    /// Whether the gate hands its servers over because it stops.
    pub(crate) leaving: Cell<bool>,
    /// Requests of callers and of other gates being served.
    pub(crate) serving: Cell<u32>,
    /// Reports of orders' outcomes under way.
    pub(crate) closing: Cell<u32>,
    services: RefCell<Rc<Services>>,
    shards: RefCell<HashMap<ShardId, Rc<Shard>>>,
    frees: RefCell<HashMap<ServiceName, Rc<Free>>>,
    signals: RefCell<HashMap<Option<ServiceName>, Rc<Signal>>>,
    serial: Cell<u64>,
}

impl Gate {
    /// Builds a gate without configuration and routes.
    pub(crate) fn new(settings: Settings) -> Rc<Self> {
        let process = Process::new(&settings.host.host, "chicoryrail-gate");
        let counters = Counters::new(&process.metrics);
        Rc::new(Self {
            counters,
            targets: HttpTargets::default(),
            gates: RefCell::default(),
            controllers: RefCell::default(),
            servers: RefCell::default(),
            leaving: Cell::new(false),
            serving: Cell::new(0),
            closing: Cell::new(0),
            services: RefCell::default(),
            shards: RefCell::default(),
            frees: RefCell::default(),
            signals: RefCell::default(),
            serial: Cell::new(0),
            process,
            settings,
        })
    }

    /// Reads the clock.
    pub(crate) fn now(&self) -> Millis {
        self.process.clock.now()
    }

    /// Returns a number that no other request of this run has.
    pub(crate) fn serial(&self) -> u64 {
        let next = self.serial.get() + 1;
        self.serial.set(next);
        next
    }

    /// Returns the services in force.
    pub(crate) fn services(&self) -> Rc<Services> {
        Rc::clone(&self.services.borrow())
    }

    /// Returns the version of the configuration in force; 0 where none.
    pub(crate) fn version(&self) -> u64 {
        self.services.borrow().config.version()
    }

    /// Returns the gate's own heartbeat.
    pub(crate) fn heartbeat(&self) -> Heartbeat {
        let stopping = self.process.stop.is_cancelled();
        Heartbeat {
            host: self.settings.host.host.clone(),
            dc: self.settings.host.dc.clone(),
            role: Role::Gate,
            instance: self.process.instance,
            state: if stopping {
                HostState::Leaving
            } else {
                HostState::Live
            },
            version: self.version(),
        }
    }

    /// Brings a configuration into force where its version is higher.
    pub(crate) fn apply_config(&self, config: Config) {
        if config.version() <= self.version() {
            return;
        }
        let version = config.version();
        let all = &self.process.invariants;
        all.rises(Invariant::ConfigForward, &self.version(), &version);
        let orders = (0..config.order_parts())
            .map(|part| self.shard(&ShardId::Orders { part }))
            .collect();
        let entries = config.services().map(|s| self.entry(s)).collect();
        *self.services.borrow_mut() = Rc::new(Services::new(config, orders, entries));
        self.process.events.record(
            EventKind::ConfigApplied,
            "config",
            format!("version={version}"),
        );
        for signal in self.signals.borrow().values() {
            signal.notify();
        }
    }

    fn entry(&self, service: &Service) -> Entry {
        let shards: Vec<_> = (0..service.parts)
            .map(|part| {
                self.shard(&ShardId::Service {
                    service: service.name.clone(),
                    part,
                })
            })
            .collect();
        let shared = service.kind == Kind::Free && self.settings.placement == Placement::Policy;
        let free = shared.then(|| self.free(&service.name));
        Entry::new(service, shards, free)
    }

    /// Returns the shared queue of a free service.
    pub(crate) fn free(&self, service: &ServiceName) -> Rc<Free> {
        let mut frees = self.frees.borrow_mut();
        let free = frees
            .entry(service.clone())
            .or_insert_with(|| Free::new(&self.process));
        Rc::clone(free)
    }

    /// Returns a shard, without routes where it is new.
    pub(crate) fn shard(&self, id: &ShardId) -> Rc<Shard> {
        if let Some(shard) = self.shards.borrow().get(id) {
            return Rc::clone(shard);
        }
        let of = match id {
            ShardId::Service { service, .. } => Some(service.clone()),
            ShardId::Orders { .. } => None,
        };
        let signal = Rc::clone(self.signals.borrow_mut().entry(of).or_default());
        let shard = Rc::new(Shard::new(id.clone(), signal));
        self.shards
            .borrow_mut()
            .insert(id.clone(), Rc::clone(&shard));
        shard
    }

    /// Iterates over the shards known.
    pub(crate) fn shards(&self) -> Vec<Rc<Shard>> {
        self.shards.borrow().values().cloned().collect()
    }
}

/// Counts a request being served until it is dropped.
#[derive(Debug)]
pub(crate) struct Serving(Rc<Gate>);

impl Serving {
    /// Starts to count.
    pub(crate) fn new(gate: &Rc<Gate>) -> Self {
        gate.serving.set(gate.serving.get() + 1);
        gate.counters.in_flight.inc();
        Self(Rc::clone(gate))
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.serving.set(self.0.serving.get() - 1);
        self.0.counters.in_flight.dec();
    }
}
