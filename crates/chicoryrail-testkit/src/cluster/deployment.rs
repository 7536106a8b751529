//! The two deployments of the brief, in their sizes of today.

use std::fmt;
use std::str::FromStr;

use chicoryrail_core::Bundle;
use chicoryrail_core::Class;
use chicoryrail_core::DataCentre;
use chicoryrail_core::Kind;
use chicoryrail_core::Millis;
use chicoryrail_core::Server;
use chicoryrail_core::Service;

use crate::LoadKind;
use crate::LoadService;
use crate::TargetPlan;

/// Slices that a keyed service starts with.
const SLICES: u32 = 64;

/// Keys that the load asks for in each service.
const KEYS: u32 = 500;

/// Exponent of the load's Zipf distribution of keys.
const SKEW: f64 = 0.8;

/// A deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Updraft Classroom Systems.
    Updraft,
    /// Tanduay Cask Works, Repair Division.
    Tanduay,
}

/// A service of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceShape {
    /// Name of the service; its path is `/v1/{name}/`.
    pub name: &'static str,
    /// Whether its keys have owners.
    pub kind: Kind,
    /// Class of its lookups.
    pub class: Class,
    /// Whether its servers check fences.
    pub fenced: bool,
    /// Number of servers.
    pub servers: usize,
    /// What the load sends.
    pub load: LoadKind,
    /// Share of the load.
    pub weight: u32,
}

const fn shape(
    name: &'static str,
    kind: Kind,
    class: Class,
    servers: usize,
    load: LoadKind,
    weight: u32,
) -> ServiceShape {
    ServiceShape {
        name,
        kind,
        class,
        fenced: false,
        servers,
        load,
        weight,
    }
}

const fn fenced(mut shape: ServiceShape) -> ServiceShape {
    shape.fenced = true;
    shape
}

/// Lessons and flight logs share twelve servers in the brief; a service has one class, so eight of
/// them serve lessons and four the nightly logs.
const UPDRAFT: &[ServiceShape] = &[
    fenced(shape(
        "kits",
        Kind::Keyed,
        Class::Interactive,
        12,
        LoadKind::Lookup,
        5,
    )),
    shape(
        "placement",
        Kind::Free,
        Class::Interactive,
        8,
        LoadKind::Order,
        2,
    ),
    shape(
        "lessons",
        Kind::Free,
        Class::Interactive,
        8,
        LoadKind::Lookup,
        2,
    ),
    shape(
        "flight-logs",
        Kind::Free,
        Class::Batch,
        4,
        LoadKind::Report,
        1,
    ),
];

/// The servers of repair status obey anybody: they stand for the targets that check nothing.
const TANDUAY: &[ServiceShape] = &[
    shape(
        "repair-status",
        Kind::Keyed,
        Class::Interactive,
        13,
        LoadKind::Lookup,
        5,
    ),
    shape(
        "booking",
        Kind::Free,
        Class::Interactive,
        8,
        LoadKind::Order,
        3,
    ),
    shape(
        "cask-history",
        Kind::Free,
        Class::Interactive,
        12,
        LoadKind::Lookup,
        2,
    ),
];

impl Deployment {
    /// Returns the name, which is the team's name too.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Updraft => "updraft",
            Self::Tanduay => "tanduay",
        }
    }

    /// Returns the names of the data centres.
    #[must_use]
    pub const fn data_centres(self) -> &'static [&'static str] {
        match self {
            Self::Updraft => &["up-a", "up-b", "up-c", "up-d"],
            Self::Tanduay => &["td-a", "td-b", "td-c"],
        }
    }

    /// Returns the services.
    #[must_use]
    pub const fn services(self) -> &'static [ServiceShape] {
        match self {
            Self::Updraft => UPDRAFT,
            Self::Tanduay => TANDUAY,
        }
    }

    /// Returns the slots of a server.
    #[must_use]
    pub const fn slots(self) -> u32 {
        match self {
            Self::Updraft => 2,
            Self::Tanduay => 3,
        }
    }

    /// Returns the connections that a server accepts.
    #[must_use]
    pub const fn connections(self) -> u32 {
        match self {
            Self::Updraft => 120,
            Self::Tanduay => 50,
        }
    }

    /// Returns the mixed load of the deployment.
    #[must_use]
    pub fn load(self) -> Vec<LoadService> {
        let build = |s: &ServiceShape| {
            LoadService::new(&s.path(), s.load)
                .with_weight(f64::from(s.weight))
                .with_keys(KEYS, SKEW)
        };
        self.services().iter().map(build).collect()
    }

    /// Returns the bundle for these targets.
    #[must_use]
    pub fn bundle(self, targets: &[TargetPlan]) -> Bundle {
        let dc = |name: &&str| DataCentre {
            name: (*name).into(),
        };
        let services = self.services().iter().enumerate();
        Bundle {
            team: self.name().into(),
            order_parts: 4,
            data_centres: self.data_centres().iter().map(dc).collect(),
            services: services.map(|(i, s)| self.service(i, s, targets)).collect(),
        }
    }

    fn service(self, index: usize, shape: &ServiceShape, targets: &[TargetPlan]) -> Service {
        let server = |t: &TargetPlan| Server {
            name: t.name.as_str().into(),
            data_centre: t.dc.as_str().into(),
            addr: t.shown,
            weight: 1.0,
        };
        Service {
            name: shape.name.into(),
            path: shape.path(),
            kind: shape.kind,
            class: shape.class,
            deadline_ms: Millis(1_000),
            fenced: shape.fenced,
            slots: self.slots(),
            connections: self.connections(),
            parts: 1,
            slices: SLICES,
            max_body: 1 << 20,
            servers: targets
                .iter()
                .filter(|t| t.service == index)
                .map(server)
                .collect(),
            hot_keys: Vec::new(),
            key_ranges: Vec::new(),
        }
    }
}

impl ServiceShape {
    /// Returns the path prefix.
    #[must_use]
    pub fn path(&self) -> String {
        format!("/v1/{}/", self.name)
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "updraft" => Ok(Self::Updraft),
            "tanduay" => Ok(Self::Tanduay),
            _ => Err(format!("{text:?} is neither updraft nor tanduay")),
        }
    }
}
